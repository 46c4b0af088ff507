/**
 * DOC: cli_catalogue - the subcommands check, diff, apply, log, undo and show
 *
 * A change is written in one transaction that is conditional on the version of
 * the head row. When two operators write at the same time, one of them gets a
 * conflict and is shown what the other changed.
 *
 * The file catalogue.version in an operator's directory stores the version that
 * the other files are based on. It prevents files that lack another operator's
 * change from silently reverting that change.
 */
#include "cli.h"

#include <stdio.h>
#include <string.h>

#define VERSION_FILE "catalogue.version"

/* the catalogue in the platform's table */
struct stored_catalogue {
	int64_t row_version; /* of the head row, expected by the next write */
	int64_t version;
	json_t *entries;
	json_t *deltas; /* since the snapshot, in order of version */
};

static int report_unavailable(void)
{
	fputs("the platform's table service did not answer; nothing was changed\n", stderr);
	return EXIT_UNAVAILABLE;
}

static void free_stored_catalogue(struct stored_catalogue *stored)
{
	json_decref(stored->entries);
	json_decref(stored->deltas);
}

/* appends the deltas of all versions after @after to @stored->deltas */
static bool read_deltas(struct cli *cli, struct stored_catalogue *stored, int64_t after)
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

			json_array_append(stored->deltas, delta);
			after = base_json_int(delta, "version", after);
		}
		json_decref(rows.value);
	} while (n);
	return true;
}

static bool read_stored_catalogue(struct cli *cli, struct stored_catalogue *stored)
{
	struct cli_reply head = cli_read(cli, CATALOGUE_TABLE, CATALOGUE_HEAD);
	struct cli_reply snapshot;
	size_t i;
	json_t *delta;

	memset(stored, 0, sizeof(*stored));
	stored->entries = json_object();
	stored->deltas = json_array();
	if (head.result != PLATFORM_OK)
		return false;
	stored->row_version = head.version;
	stored->version = base_json_int(head.value, "version", 0);
	json_decref(head.value);
	snapshot = cli_read(cli, CATALOGUE_TABLE, CATALOGUE_SNAPSHOT);
	if (snapshot.result != PLATFORM_OK)
		return false;
	if (snapshot.value)
		json_object_update(stored->entries, json_object_get(snapshot.value, "entries"));
	if (!read_deltas(cli, stored, base_json_int(snapshot.value, "version", 0)))
		return false;
	json_decref(snapshot.value);
	json_array_foreach(stored->deltas, i, delta) {
		if (base_json_int(delta, "version", 0) <= stored->version)
			catalogue_apply_changes(stored->entries, json_object_get(delta, "changes"));
	}
	return true;
}

/* ---- version of the operator's directory ---- */

static int64_t read_dir_version(const char *dir)
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

static void write_dir_version(const char *dir, int64_t version)
{
	char *path = g_build_filename(dir, VERSION_FILE, NULL);
	char *text = g_strdup_printf("%" PRId64 "\n", version);

	if (!g_file_set_contents(path, text, -1, NULL))
		fprintf(stderr, "warning: cannot write %s; give --base %" PRId64 " next time\n",
			path, version);
	g_free(text);
	g_free(path);
}

/* ---- output ---- */

static void show_changes(struct cli *cli, const json_t *changes)
{
	char *text = cli->json ? base_json_text(cli, changes) : catalogue_diff_text(cli, changes);

	printf("%s%s", text, cli->json ? "\n" : "");
	talloc_free(text);
}

static void show_delta(struct cli *cli, const json_t *delta)
{
	GDateTime *date_time =
		g_date_time_new_from_unix_utc(base_json_int(delta, "at_us", 0) / 1000000);
	char *time_text = g_date_time_format(date_time, "%F %T UTC");
	char *text;

	if (cli->json) {
		text = base_json_text(cli, delta);
		printf("%s\n", text);
	} else {
		text = catalogue_diff_text(cli, json_object_get(delta, "changes"));
		printf("version %" PRId64 ", %s, by %s: %s\n%s", base_json_int(delta, "version", 0),
		       time_text, base_json_str(delta, "by", "?"), base_json_str(delta, "note", ""),
		       text);
	}
	talloc_free(text);
	g_free(time_text);
	g_date_time_unref(date_time);
}

static int show_conflict(struct cli *cli, const struct stored_catalogue *stored,
			 int64_t base_version)
{
	size_t i;
	json_t *delta;

	fprintf(stderr,
		"conflict: the catalogue is at version %" PRId64 ", your files start from %" PRId64
		"; since then:\n",
		stored->version, base_version);
	json_array_foreach(stored->deltas, i, delta) {
		if (base_json_int(delta, "version", 0) > base_version)
			show_delta(cli, delta);
	}
	fprintf(stderr, "merge these changes into your files, then apply with --base %" PRId64 "\n",
		stored->version);
	return EXIT_CONFLICT;
}

/* ---- writing ---- */

/*
 * Writes the head row, the delta and, every CATALOGUE_SNAPSHOT_EVERY versions, a
 * snapshot in one transaction.
 */
static enum platform_result write_version(struct cli *cli, const struct stored_catalogue *stored,
					  json_t *changes)
{
	int64_t version = stored->version + 1;
	char *key = catalogue_delta_key(cli, version);
	json_t *head = json_pack("{sI}", "version", (json_int_t)version);
	json_t *delta = json_pack("{sI ss ss sI sO}", "version", (json_int_t)version, "by",
				  cli->operator_name, "note", cli->note, "at_us",
				  (json_int_t)base_wall_us(), "changes", changes);
	json_t *entries = json_copy(stored->entries);
	json_t *snapshot;
	struct platform_write writes[3] = {
		{CATALOGUE_TABLE, CATALOGUE_HEAD, stored->row_version, head, false},
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

/* rejects guarantees that do not fit the backend servers of the platform's VM list */
static int check_guarantees(struct cli *cli, const json_t *entries)
{
	struct cli_reply vms = cli_read_vms(cli);
	char *faults;

	if (vms.result != PLATFORM_OK)
		return report_unavailable();
	faults = catalogue_check_guarantees(cli, entries, vms.value);
	json_decref(vms.value);
	if (!faults)
		return EXIT_OK;
	fputs(faults, stderr);
	return EXIT_FAULT;
}

static int write_and_report(struct cli *cli, struct stored_catalogue *stored, json_t *changes,
			    const char *dir)
{
	struct stored_catalogue latest;

	switch (write_version(cli, stored, changes)) {
	case PLATFORM_OK:
		if (dir)
			write_dir_version(dir, stored->version + 1);
		if (!cli->json)
			printf("version %" PRId64 " is accepted\n", stored->version + 1);
		return EXIT_OK;
	case PLATFORM_CONFLICT:
		if (!read_stored_catalogue(cli, &latest))
			return report_unavailable();
		show_conflict(cli, &latest, stored->version);
		free_stored_catalogue(&latest);
		return EXIT_CONFLICT;
	case PLATFORM_NOT_APPLIED:
		return report_unavailable();
	case PLATFORM_NO_ANSWER:
		break;
	}
	fputs("no answer from the table service; the change may have been applied: check "
	      "'catalogue log' before you try again\n",
	      stderr);
	return EXIT_UNAVAILABLE;
}

/* ---- subcommands ---- */

static json_t *load_dir(struct cli *cli, const char *dir)
{
	char *faults;
	json_t *entries = catalogue_load(cli, dir, &faults);

	if (!entries)
		fputs(faults, stderr);
	return entries;
}

static int verb_check(struct cli *cli, const char *dir)
{
	json_t *entries = load_dir(cli, dir);
	int code = entries ? EXIT_OK : EXIT_FAULT;

	if (entries && cli->platform)
		code = check_guarantees(cli, entries);
	if (code == EXIT_OK)
		printf("%s: ok, %zu entries%s\n", dir, json_object_size(entries),
		       cli->platform ? ", all guarantees fit" : "");
	json_decref(entries);
	return code;
}

static int verb_diff(struct cli *cli, const char *dir)
{
	json_t *entries = load_dir(cli, dir);
	struct stored_catalogue stored;
	json_t *changes;
	int code;

	if (!entries)
		return EXIT_FAULT;
	if (!read_stored_catalogue(cli, &stored))
		return report_unavailable();
	changes = catalogue_diff(stored.entries, entries);
	show_changes(cli, changes);
	code = json_array_size(changes) ? EXIT_FAULT : EXIT_OK;
	json_decref(changes);
	json_decref(entries);
	free_stored_catalogue(&stored);
	return code;
}

static int verb_apply(struct cli *cli, const char *dir)
{
	json_t *entries = load_dir(cli, dir);
	int64_t base_version = cli->base_version >= 0 ? cli->base_version : read_dir_version(dir);
	struct stored_catalogue stored;
	json_t *changes;
	int code;

	if (!entries)
		return EXIT_FAULT;
	if (!read_stored_catalogue(cli, &stored))
		return report_unavailable();
	if (MAX(base_version, 0) != stored.version)
		return show_conflict(cli, &stored, MAX(base_version, 0));
	code = check_guarantees(cli, entries);
	changes = catalogue_diff(stored.entries, entries);
	if (code == EXIT_OK && !json_array_size(changes)) {
		printf("no change: the catalogue is at version %" PRId64 "\n", stored.version);
	} else if (code == EXIT_OK) {
		show_changes(cli, changes);
		code = write_and_report(cli, &stored, changes, dir);
	}
	json_decref(changes);
	json_decref(entries);
	free_stored_catalogue(&stored);
	return code;
}

static int verb_log(struct cli *cli)
{
	struct stored_catalogue stored;
	size_t remaining;

	if (!read_stored_catalogue(cli, &stored))
		return report_unavailable();
	json_array_clear(stored.deltas);
	/* Deltas are never deleted, therefore the log can start before the snapshot. */
	if (!read_deltas(cli, &stored, MAX(stored.version - cli->log_limit, 0)))
		return report_unavailable();
	remaining = json_array_size(stored.deltas);
	while (remaining-- > 0)
		show_delta(cli, json_array_get(stored.deltas, remaining));
	free_stored_catalogue(&stored);
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

/* returns the inverse changes, or NULL when a later version changed the same entries again */
static json_t *invert_delta(const json_t *delta, const json_t *entries)
{
	json_t *inverse = json_array();
	size_t i;
	json_t *change;

	json_array_foreach(json_object_get(delta, "changes"), i, change) {
		const char *entry = base_json_str(change, "entry", "");
		json_t *new = json_object_get(change, "new");
		json_t *current = json_object_get(entries, entry);

		if (json_is_object(new) ? !current || !json_equal(new, current) : current != NULL) {
			fprintf(stderr, "%s was changed again by a later version\n", entry);
			json_decref(inverse);
			return NULL;
		}
		json_array_append_new(inverse, json_pack("{ss sO sO}", "entry", entry, "old", new,
							 "new", json_object_get(change, "old")));
	}
	return inverse;
}

static int verb_undo(struct cli *cli, const char *argument)
{
	struct stored_catalogue stored;
	int64_t version;
	json_t *inverse;
	json_t *entries;
	char *faults;
	int code;

	if (!read_stored_catalogue(cli, &stored))
		return report_unavailable();
	version = argument ? g_ascii_strtoll(argument, NULL, 10) : stored.version;
	json_array_clear(stored.deltas);
	if (!read_deltas(cli, &stored, MAX(version - 1, 0)))
		return report_unavailable();
	if (!find_delta(stored.deltas, version)) {
		fprintf(stderr, "there is no version %" PRId64 "\n", version);
		return EXIT_FAULT;
	}
	inverse = invert_delta(find_delta(stored.deltas, version), stored.entries);
	if (!inverse)
		return EXIT_CONFLICT;
	entries = json_copy(stored.entries);
	catalogue_apply_changes(entries, inverse);
	faults = catalogue_check(cli, entries);
	if (faults) {
		fputs(faults, stderr);
		code = EXIT_FAULT;
	} else {
		code = check_guarantees(cli, entries);
	}
	if (code == EXIT_OK) {
		show_changes(cli, inverse);
		code = write_and_report(cli, &stored, inverse, NULL);
	}
	json_decref(entries);
	json_decref(inverse);
	free_stored_catalogue(&stored);
	return code;
}

static int verb_show(struct cli *cli)
{
	struct stored_catalogue stored;
	char *text;

	if (!read_stored_catalogue(cli, &stored))
		return report_unavailable();
	text = json_dumps(stored.entries, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("%s\n", text);
	free(text);
	fprintf(stderr, "version %" PRId64 "\n", stored.version);
	free_stored_catalogue(&stored);
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
