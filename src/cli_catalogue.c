/**
 * DOC: cli_catalogue - check, diff, apply, log, undo
 *
 * An apply is one conditional transaction on the head row, so of two operators
 * who race, one gets a conflict and sees what the other changed. An operator's
 * directory remembers in catalogue.version which version it started from, so
 * that files which lack another operator's change cannot silently take it back.
 */
#include "cli.h"

#include <stdio.h>
#include <string.h>

#define VERSION_FILE "catalogue.version"

/* the catalogue as it stands in the table */
struct head {
	int64_t row_version;
	int64_t version;
	json_t *entries;
	json_t *deltas; /* since the snapshot, in order */
};

static int away(void)
{
	fputs("the platform's table service did not answer; nothing was changed\n", stderr);
	return EXIT_UNAVAILABLE;
}

static void head_free(struct head *h)
{
	json_decref(h->entries);
	json_decref(h->deltas);
}

static bool read_deltas(struct cli *cli, struct head *h, int64_t after)
{
	size_t i;
	json_t *row;
	size_t n;

	do {
		char *key = catalogue_delta_key(cli, after);
		struct cli_reply rows = cli_scan(cli, CATALOGUE_TABLE, "delta/", key);

		if (rows.result != PLATFORM_OK)
			return false;
		n = json_array_size(rows.value);
		json_array_foreach(rows.value, i, row) {
			json_t *delta = json_object_get(row, "value");

			json_array_append(h->deltas, delta);
			after = base_json_int(delta, "version", after);
		}
		json_decref(rows.value);
	} while (n);
	return true;
}

static bool read_head(struct cli *cli, struct head *h)
{
	struct cli_reply row = cli_read(cli, CATALOGUE_TABLE, CATALOGUE_HEAD);
	struct cli_reply snapshot;
	size_t i;
	json_t *delta;

	memset(h, 0, sizeof(*h));
	h->entries = json_object();
	h->deltas = json_array();
	if (row.result != PLATFORM_OK)
		return false;
	h->row_version = row.version;
	h->version = base_json_int(row.value, "version", 0);
	json_decref(row.value);
	snapshot = cli_read(cli, CATALOGUE_TABLE, CATALOGUE_SNAPSHOT);
	if (snapshot.result != PLATFORM_OK)
		return false;
	if (snapshot.value)
		json_object_update(h->entries, json_object_get(snapshot.value, "entries"));
	if (!read_deltas(cli, h, base_json_int(snapshot.value, "version", 0)))
		return false;
	json_decref(snapshot.value);
	json_array_foreach(h->deltas, i, delta) {
		if (base_json_int(delta, "version", 0) <= h->version)
			catalogue_apply_changes(h->entries, json_object_get(delta, "changes"));
	}
	return true;
}

/* ---- version of the operator's directory ---- */

static int64_t dir_version(const char *dir)
{
	char *path = g_build_filename(dir, VERSION_FILE, NULL);
	char *text = NULL;
	int64_t version = -1;

	if (g_file_get_contents(path, &text, NULL, NULL))
		version = g_ascii_strtoll(text, NULL, 10);
	g_free(text);
	g_free(path);
	return version;
}

static void dir_set_version(const char *dir, int64_t version)
{
	char *path = g_build_filename(dir, VERSION_FILE, NULL);
	char *text = g_strdup_printf("%" PRId64 "\n", version);

	if (!g_file_set_contents(path, text, -1, NULL))
		fprintf(stderr, "warning: cannot write %s; give --base %" PRId64 " next time\n",
			path, version);
	g_free(text);
	g_free(path);
}

/* ---- showing ---- */

static void show_changes(struct cli *cli, const json_t *changes)
{
	char *text = cli->json ? base_json_text(cli, changes) : catalogue_diff_text(cli, changes);

	printf("%s%s", text, cli->json ? "\n" : "");
	talloc_free(text);
}

static void show_delta(struct cli *cli, const json_t *delta)
{
	GDateTime *at = g_date_time_new_from_unix_utc(base_json_int(delta, "at_us", 0) / 1000000);
	char *when = g_date_time_format(at, "%F %T UTC");
	char *text;

	if (cli->json) {
		text = base_json_text(cli, delta);
		printf("%s\n", text);
	} else {
		text = catalogue_diff_text(cli, json_object_get(delta, "changes"));
		printf("version %" PRId64 ", %s, by %s: %s\n%s", base_json_int(delta, "version", 0),
		       when, base_json_str(delta, "by", "?"), base_json_str(delta, "note", ""),
		       text);
	}
	talloc_free(text);
	g_free(when);
	g_date_time_unref(at);
}

static int show_conflict(struct cli *cli, const struct head *h, int64_t since)
{
	size_t i;
	json_t *delta;

	fprintf(stderr,
		"conflict: the catalogue is at version %" PRId64 ", your files start from %" PRId64
		"; since then:\n",
		h->version, since);
	json_array_foreach(h->deltas, i, delta) {
		if (base_json_int(delta, "version", 0) > since)
			show_delta(cli, delta);
	}
	fprintf(stderr, "take these changes into your files, then apply with --base %" PRId64 "\n",
		h->version);
	return EXIT_CONFLICT;
}

/* ---- writing ---- */

/* the new version as one transaction: head, delta and now and then a snapshot */
static enum platform_result write_version(struct cli *cli, const struct head *h, json_t *changes)
{
	int64_t version = h->version + 1;
	char *key = catalogue_delta_key(cli, version);
	json_t *head = json_pack("{sI}", "version", (json_int_t)version);
	json_t *delta =
		json_pack("{sI ss ss sI sO}", "version", (json_int_t)version, "by", cli->by, "note",
			  cli->note, "at_us", (json_int_t)base_wall_us(), "changes", changes);
	json_t *entries = json_copy(h->entries);
	json_t *snapshot;
	struct platform_write writes[3] = {
		{CATALOGUE_TABLE, CATALOGUE_HEAD, h->row_version, head, false},
		{CATALOGUE_TABLE, key, PLATFORM_EXPECT_ABSENT, delta, false},
	};
	enum platform_result result;

	catalogue_apply_changes(entries, changes);
	snapshot = json_pack("{sI so}", "version", (json_int_t)version, "entries", entries);
	writes[2] = (struct platform_write){CATALOGUE_TABLE, CATALOGUE_SNAPSHOT,
					    PLATFORM_EXPECT_ANY, snapshot, false};
	result = cli_tx(cli, writes, version % CATALOGUE_SNAPSHOT_EVERY == 0 ? 3 : 2);
	json_decref(head);
	json_decref(delta);
	json_decref(snapshot);
	talloc_free(key);
	return result;
}

/* refuses what the fleet cannot hold; the platform's VM list says what there is */
static int check_fit(struct cli *cli, const json_t *entries)
{
	struct cli_reply vms = cli_read_vms(cli);
	char *faults;

	if (vms.result != PLATFORM_OK)
		return away();
	faults = catalogue_check_guarantees(cli, entries, vms.value);
	json_decref(vms.value);
	if (!faults)
		return EXIT_OK;
	fputs(faults, stderr);
	return EXIT_FAULT;
}

static int finish_write(struct cli *cli, struct head *h, json_t *changes, const char *dir)
{
	struct head now;

	switch (write_version(cli, h, changes)) {
	case PLATFORM_OK:
		if (dir)
			dir_set_version(dir, h->version + 1);
		if (!cli->json)
			printf("version %" PRId64 " is accepted\n", h->version + 1);
		return EXIT_OK;
	case PLATFORM_CONFLICT:
		if (!read_head(cli, &now))
			return away();
		show_conflict(cli, &now, h->version);
		head_free(&now);
		return EXIT_CONFLICT;
	case PLATFORM_REFUSED:
		return away();
	case PLATFORM_AWAY:
		break;
	}
	fputs("no answer from the table service; the change may be in force: look at "
	      "'catalogue log' before you try again\n",
	      stderr);
	return EXIT_UNAVAILABLE;
}

/* ---- verbs ---- */

static json_t *load(struct cli *cli, const char *dir)
{
	char *faults;
	json_t *entries = catalogue_load(cli, dir, &faults);

	if (!entries)
		fputs(faults, stderr);
	return entries;
}

static int verb_check(struct cli *cli, const char *dir)
{
	json_t *entries = load(cli, dir);
	int code = entries ? EXIT_OK : EXIT_FAULT;

	if (entries && cli->platform)
		code = check_fit(cli, entries);
	if (code == EXIT_OK)
		printf("%s: ok, %zu entries%s\n", dir, json_object_size(entries),
		       cli->platform ? ", all guarantees fit" : "");
	json_decref(entries);
	return code;
}

static int verb_diff(struct cli *cli, const char *dir)
{
	json_t *entries = load(cli, dir);
	struct head h;
	json_t *changes;
	int code;

	if (!entries)
		return EXIT_FAULT;
	if (!read_head(cli, &h))
		return away();
	changes = catalogue_diff(h.entries, entries);
	show_changes(cli, changes);
	code = json_array_size(changes) ? EXIT_FAULT : EXIT_OK;
	json_decref(changes);
	json_decref(entries);
	head_free(&h);
	return code;
}

static int verb_apply(struct cli *cli, const char *dir)
{
	json_t *entries = load(cli, dir);
	int64_t base = cli->base >= 0 ? cli->base : dir_version(dir);
	struct head h;
	json_t *changes;
	int code;

	if (!entries)
		return EXIT_FAULT;
	if (!read_head(cli, &h))
		return away();
	if (MAX(base, 0) != h.version)
		return show_conflict(cli, &h, MAX(base, 0));
	code = check_fit(cli, entries);
	changes = catalogue_diff(h.entries, entries);
	if (code == EXIT_OK && !json_array_size(changes)) {
		printf("no change: the catalogue is at version %" PRId64 "\n", h.version);
	} else if (code == EXIT_OK) {
		show_changes(cli, changes);
		code = finish_write(cli, &h, changes, dir);
	}
	json_decref(changes);
	json_decref(entries);
	head_free(&h);
	return code;
}

static int verb_log(struct cli *cli)
{
	struct head h;
	size_t first;

	if (!read_head(cli, &h))
		return away();
	json_array_clear(h.deltas);
	/* deltas are kept; the log is not limited to those since the snapshot */
	if (!read_deltas(cli, &h, MAX(h.version - cli->limit, 0)))
		return away();
	first = json_array_size(h.deltas);
	while (first-- > 0)
		show_delta(cli, json_array_get(h.deltas, first));
	head_free(&h);
	return EXIT_OK;
}

static const json_t *find_delta(const json_t *deltas, int64_t version)
{
	size_t i;
	json_t *delta;

	json_array_foreach(deltas, i, delta) {
		if (base_json_int(delta, "version", 0) == version)
			return delta;
	}
	return NULL;
}

/* the inverse of a change, or NULL when a later one touched the same entries */
static json_t *invert(const json_t *delta, const json_t *entries)
{
	json_t *inverse = json_array();
	size_t i;
	json_t *change;

	json_array_foreach(json_object_get(delta, "changes"), i, change) {
		const char *entry = base_json_str(change, "entry", "");
		json_t *new = json_object_get(change, "new");
		json_t *now = json_object_get(entries, entry);

		if (json_is_object(new) ? !now || !json_equal(new, now) : now != NULL) {
			fprintf(stderr, "%s was changed again by a later version\n", entry);
			json_decref(inverse);
			return NULL;
		}
		json_array_append_new(inverse, json_pack("{ss sO sO}", "entry", entry, "old", new,
							 "new", json_object_get(change, "old")));
	}
	return inverse;
}

static int verb_undo(struct cli *cli, const char *which)
{
	struct head h;
	int64_t version;
	json_t *inverse;
	json_t *entries;
	char *faults;
	int code;

	if (!read_head(cli, &h))
		return away();
	version = which ? g_ascii_strtoll(which, NULL, 10) : h.version;
	json_array_clear(h.deltas);
	if (!read_deltas(cli, &h, MAX(version - 1, 0)))
		return away();
	if (!find_delta(h.deltas, version)) {
		fprintf(stderr, "there is no version %" PRId64 "\n", version);
		return EXIT_FAULT;
	}
	inverse = invert(find_delta(h.deltas, version), h.entries);
	if (!inverse)
		return EXIT_CONFLICT;
	entries = json_copy(h.entries);
	catalogue_apply_changes(entries, inverse);
	faults = catalogue_check(cli, entries);
	if (faults) {
		fputs(faults, stderr);
		code = EXIT_FAULT;
	} else {
		code = check_fit(cli, entries);
	}
	if (code == EXIT_OK) {
		show_changes(cli, inverse);
		code = finish_write(cli, &h, inverse, NULL);
	}
	json_decref(entries);
	json_decref(inverse);
	head_free(&h);
	return code;
}

static int verb_show(struct cli *cli)
{
	struct head h;
	char *text;

	if (!read_head(cli, &h))
		return away();
	text = json_dumps(h.entries, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("%s\n", text);
	free(text);
	fprintf(stderr, "version %" PRId64 "\n", h.version);
	head_free(&h);
	return EXIT_OK;
}

int cli_catalogue(struct cli *cli, const char *verb, const char *argument)
{
	bool needs_dir = !strcmp(verb, "check") || !strcmp(verb, "diff") || !strcmp(verb, "apply");

	if (needs_dir && !argument) {
		fprintf(stderr, "catalogue %s: expected a directory\n", verb);
		return EXIT_USAGE;
	}
	if (!strcmp(verb, "check"))
		return verb_check(cli, argument);
	if (!cli->platform) {
		fprintf(stderr, "catalogue %s: expected --platform IP:PORT\n", verb);
		return EXIT_USAGE;
	}
	if (!strcmp(verb, "diff"))
		return verb_diff(cli, argument);
	if (!strcmp(verb, "apply"))
		return verb_apply(cli, argument);
	if (!strcmp(verb, "log"))
		return verb_log(cli);
	if (!strcmp(verb, "undo"))
		return verb_undo(cli, argument);
	if (!strcmp(verb, "show"))
		return verb_show(cli);
	fprintf(stderr, "catalogue: expected check, diff, apply, log, undo or show\n");
	return EXIT_USAGE;
}
