#include "settings.h"
#include "toml/toml.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum field_type { FIELD_TEXT, FIELD_ADDRESS, FIELD_INTEGER, FIELD_NETWORKS, FIELD_SEEDS };

struct field {
	const char *key;
	enum field_type type;
	size_t offset;
	bool required;
	int64_t min; /* range of an integer, of a text's length in bytes or of a list's length */
	int64_t max;
	const char *fallback; /* default of a key that is not required; an integer in decimal */
};

#define OFFSET(member) offsetof(struct settings, member)

static const struct field fields[] = {
	{"vm.id", FIELD_TEXT, OFFSET(vm), true, 1, 48, NULL},
	{"vm.failure_domain", FIELD_TEXT, OFFSET(failure_domain), true, 1, 48, NULL},
	{"vm.peer_networks", FIELD_NETWORKS, OFFSET(peer_networks), true, 1, SETTINGS_LIST_MAX,
	 NULL},
	{"vm.seeds", FIELD_SEEDS, OFFSET(seeds), false, 0, SETTINGS_LIST_MAX, NULL},
	{"platform.address", FIELD_ADDRESS, OFFSET(platform), true, 0, 0, NULL},
	{"entry.callers", FIELD_ADDRESS, OFFSET(entry_callers), true, 0, 0, NULL},
	{"entry.peers", FIELD_ADDRESS, OFFSET(entry_peers), true, 0, 0, NULL},
	{"entry.operators", FIELD_ADDRESS, OFFSET(entry_operators), true, 0, 0, NULL},
	{"entry.threads", FIELD_INTEGER, OFFSET(entry_threads), false, 1, 16, "2"},
	{"sched.peers", FIELD_ADDRESS, OFFSET(sched_peers), true, 0, 0, NULL},
	{"sched.operators", FIELD_ADDRESS, OFFSET(sched_operators), true, 0, 0, NULL},
	{"policy.weight_percent", FIELD_INTEGER, OFFSET(weight_percent), false, 0, 100, "50"},
	{"policy.urgent_percent", FIELD_INTEGER, OFFSET(urgent_percent), false, 0, 50, "10"},
	{"policy.reclaim_ms", FIELD_INTEGER, OFFSET(reclaim_ms), false, 100, 600000, "5000"},
	{"policy.lease_ms", FIELD_INTEGER, OFFSET(lease_ms), false, 1000, 600000, "6000"},
	{"log.file", FIELD_TEXT, OFFSET(log_file), false, 0, 4096, "-"},
	{"log.traces", FIELD_TEXT, OFFSET(trace_file), false, 0, 4096, ""},
};

/* the settings file that is being checked */
struct check {
	struct settings *out;
	const char *path;
	json_t *doc;
	json_t *lines; /* line of each key path, see toml_load() */
	char *errors;  /* one per line */
};

bool address_parse(const char *text, struct address *out)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	struct in_addr addr;
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(out->ip))
		return false;
	memcpy(out->ip, text, (size_t)(colon - text));
	out->ip[colon - text] = 0;
	port = strtol(colon + 1, &end, 10);
	if (*end || port < 1 || port > 65535 || inet_pton(AF_INET, out->ip, &addr) != 1)
		return false;
	out->port = (uint16_t)port;
	return true;
}

static void add_error(struct check *c, const char *key, const char *expected)
{
	c->errors = talloc_asprintf_append(c->errors, "%s:%d: %s: expected %s\n", c->path,
					   (int)base_json_int(c->lines, key, 0), key, expected);
}

static json_t *find_value(const struct check *c, const char *key)
{
	const char *dot = strchr(key, '.');
	char section[32];

	g_strlcpy(section, key, (gsize)(dot - key) + 1);
	return json_object_get(json_object_get(c->doc, section), dot + 1);
}

static void check_text(struct check *c, const struct field *f, const json_t *v)
{
	char **member = (char **)((char *)c->out + f->offset);
	const char *s = json_string_value(v);

	if (!s || (int64_t)strlen(s) < f->min || (int64_t)strlen(s) > f->max) {
		add_error(c, f->key, "a string of permitted length");
		return;
	}
	*member = talloc_strdup(c->out, s);
}

static void check_integer(struct check *c, const struct field *f, const json_t *v)
{
	int64_t n = json_integer_value(v);
	char text[64];

	g_snprintf(text, sizeof(text), "a whole number from %" PRId64 " to %" PRId64, f->min,
		   f->max);
	if (!json_is_integer(v) || n < f->min || n > f->max) {
		add_error(c, f->key, text);
		return;
	}
	*(int64_t *)((char *)c->out + f->offset) = n;
}

static void check_list(struct check *c, const struct field *f, const json_t *v)
{
	size_t i;
	json_t *item;

	if (!json_is_array(v) || json_array_size(v) < (size_t)f->min ||
	    json_array_size(v) > (size_t)f->max) {
		add_error(c, f->key, "a list of strings of permitted length");
		return;
	}
	json_array_foreach(v, i, item) {
		const char *s = json_string_value(item);

		if (f->type == FIELD_NETWORKS && s && strlen(s) < 32) {
			c->out->peer_networks[c->out->peer_network_count++] =
				talloc_strdup(c->out, s);
		} else if (f->type == FIELD_SEEDS && s &&
			   address_parse(s, &c->out->seeds[c->out->seed_count])) {
			c->out->seed_count++;
		} else {
			add_error(c, f->key, "networks as \"a.b.c.d/n\", seeds as \"ip:port\"");
		}
	}
}

static void check_field(struct check *c, const struct field *f)
{
	json_t *v = find_value(c, f->key);

	if (!v) {
		if (f->required)
			add_error(c, f->key, "a value; the key is missing");
		else if (f->type == FIELD_TEXT)
			*(char **)((char *)c->out + f->offset) = talloc_strdup(c->out, f->fallback);
		else if (f->type == FIELD_INTEGER)
			*(int64_t *)((char *)c->out + f->offset) = strtoll(f->fallback, NULL, 10);
		return;
	}
	switch (f->type) {
	case FIELD_TEXT:
		check_text(c, f, v);
		break;
	case FIELD_ADDRESS:
		if (!address_parse(json_string_value(v),
				   (struct address *)((char *)c->out + f->offset)))
			add_error(c, f->key, "an address as \"ip:port\"");
		break;
	case FIELD_INTEGER:
		check_integer(c, f, v);
		break;
	case FIELD_NETWORKS:
	case FIELD_SEEDS:
		check_list(c, f, v);
		break;
	}
}

static bool is_known(const char *section, const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		size_t n = strlen(section);

		if (!strncmp(fields[i].key, section, n) && fields[i].key[n] == '.' &&
		    (!key || !strcmp(fields[i].key + n + 1, key)))
			return true;
	}
	return false;
}

static void check_unknown(struct check *c)
{
	const char *section;
	const char *key;
	json_t *table;
	json_t *v;

	json_object_foreach(c->doc, section, table) {
		if (!is_known(section, NULL) || !json_is_object(table)) {
			add_error(c, section, "no such section");
			continue;
		}
		json_object_foreach(table, key, v) {
			char path[128];

			g_snprintf(path, sizeof(path), "%s.%s", section, key);
			if (!is_known(section, key))
				add_error(c, path, "no such key");
		}
	}
}

struct settings *settings_load(TALLOC_CTX *ctx, const char *path, char **errors)
{
	struct check c = {.path = path};
	char *error = NULL;

	*errors = NULL;
	c.doc = toml_load(path, &c.lines, &error);
	if (!c.doc) {
		*errors = talloc_asprintf(ctx, "%s\n", error);
		free(error);
		return NULL;
	}
	c.out = talloc_zero(ctx, struct settings);
	c.errors = talloc_strdup(ctx, "");
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		check_field(&c, &fields[i]);
	check_unknown(&c);
	json_decref(c.doc);
	json_decref(c.lines);
	if (*c.errors) {
		*errors = c.errors;
		TALLOC_FREE(c.out);
	} else {
		talloc_free(c.errors);
	}
	return c.out;
}
