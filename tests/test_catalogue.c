/**
 * DOC: test_catalogue - validation, differences and whether guarantees fit the servers
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "catalogue/catalogue.h"
#include "runner.h"

static char dir[] = "/tmp/currantlane-test-XXXXXX";

static void write_file(const char *name, const char *text)
{
	char *path = g_build_filename(dir, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static json_t *parse_entries(const char *text)
{
	json_t *v = json_loads(text, 0, NULL);

	ck_assert_ptr_nonnull(v);
	return v;
}

START_TEST(errors_name_file_line_and_key)
{
	char *faults;

	write_file("a.toml", "[workspace.w]\nowner = \"me\"\n\n[kind.k]\nowner = \"me\"\n"
			     "workspace = \"nobody\"\nclass = \"soon\"\nwork = \"job\"\n"
			     "idempotent = 1\nspeed = 3\n");
	ck_assert_ptr_null(catalogue_load(NULL, dir, &faults));
	ck_assert_ptr_nonnull(strstr(faults, "a.toml:7: kind/k: class: expected urgent, normal"));
	ck_assert_ptr_nonnull(
		strstr(faults, "a.toml:9: kind/k: idempotent: expected true or false"));
	ck_assert_ptr_nonnull(strstr(faults, "a.toml:10: kind/k: speed: expected no such key"));
	ck_assert_ptr_nonnull(strstr(faults, "a.toml:6: kind/k: workspace:"));
	talloc_free(faults);
}
END_TEST

START_TEST(toml_syntax_error_names_its_line)
{
	char *faults;

	write_file("a.toml", "[workspace.w]\nowner = \n");
	ck_assert_ptr_null(catalogue_load(NULL, dir, &faults));
	ck_assert_ptr_nonnull(strstr(faults, "a.toml:2:"));
	talloc_free(faults);
}
END_TEST

START_TEST(applying_a_difference_to_old_gives_new)
{
	json_t *old = parse_entries("{\"workspace/a\":{\"owner\":\"x\",\"precedence\":1},"
				    "\"workspace/b\":{\"owner\":\"y\"}}");
	json_t *new = parse_entries("{\"workspace/a\":{\"owner\":\"x\",\"precedence\":2},"
				    "\"workspace/c\":{\"owner\":\"z\"}}");
	json_t *changes = catalogue_diff(old, new);
	char *text = catalogue_diff_text(NULL, changes);

	ck_assert_ptr_nonnull(strstr(text, "workspace/a: precedence changes from 1 to 2"));
	ck_assert_ptr_nonnull(strstr(text, "workspace/b is removed"));
	ck_assert_ptr_nonnull(strstr(text, "workspace/c is added"));
	catalogue_apply_changes(old, changes);
	ck_assert(json_equal(old, new));
	talloc_free(text);
	json_decref(changes);
	json_decref(old);
	json_decref(new);
}
END_TEST

START_TEST(guarantees_that_do_not_fit_are_rejected)
{
	json_t *vms = json_array();
	json_t *entries;
	char *faults;

	for (int i = 0; i < 2; i++)
		json_array_append_new(vms, json_pack("{ss+ ss ss ss si}", "id", "b", i ? "1" : "0",
						     "role", "backend", "failure_domain", "fd",
						     "rack", "r", "accelerators", 8));
	entries = parse_entries(
		"{\"workspace/a\":{\"owner\":\"x\",\"guarantee\":[{\"failure_domain\":\"fd\","
		"\"accelerators\":8,\"together\":\"server\",\"count\":1}]},"
		"\"workspace/b\":{\"owner\":\"x\",\"guarantee\":[{\"failure_domain\":\"fd\","
		"\"accelerators\":8,\"together\":\"rack\",\"count\":1}]}}");
	ck_assert_ptr_null(catalogue_check_guarantees(NULL, entries, vms));
	json_object_set_new(
		json_array_get(
			json_object_get(json_object_get(entries, "workspace/b"), "guarantee"), 0),
		"accelerators", json_integer(9));
	faults = catalogue_check_guarantees(NULL, entries, vms);
	ck_assert_ptr_nonnull(faults);
	ck_assert_ptr_nonnull(strstr(faults, "workspace/a: guarantee: expected guarantees that all "
					     "fit fd at once; 8 accelerators do not"));
	talloc_free(faults);
	json_decref(entries);
	json_decref(vms);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, errors_name_file_line_and_key);
	tcase_add_test(t, toml_syntax_error_names_its_line);
	tcase_add_test(t, applying_a_difference_to_old_gives_new);
	tcase_add_test(t, guarantees_that_do_not_fit_are_rejected);
}

int main(void)
{
	if (!mkdtemp(dir))
		return EXIT_FAILURE;
	return run_suite("catalogue", add_tests);
}
