/**
 * DOC: test_site - settings that the platform provides for a process
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/site.h"
#include "runner.h"

static char path[] = "/tmp/currantlane-site-XXXXXX";

static const char valid_settings[] =
	"node = \"edge-1\"\nzone = \"z1\"\nip = \"10.1.0.19\"\n"
	"port-range = [7000,7015]\nunknown = 3\n"
	"[listen]\nfront = \"10.1.0.19:8521\"\nready = \"10.1.0.19:8523\"\n"
	"[limits]\ncpu-share = 0.25\ncores = 2\nmemory-mb = 120\nmax-fds = 4096\n"
	"[bounds]\nhold-max-ms = 5000\ngrace-s = 2.5\nremote-slowdown = 2\n"
	"[platform]\naddr = \"10.200.1.7:8524\"\n";

static struct site *load(const char *text, char **error)
{
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return site_load(NULL, path, error);
}

START_TEST(settings_are_read_and_omitted_ones_have_defaults)
{
	char *error;
	struct site *s = load(valid_settings, &error);

	ck_assert_ptr_nonnull(s);
	ck_assert_str_eq(s->vm, "edge-1");
	ck_assert_str_eq(s->peers.ip, "10.1.0.19");
	ck_assert_uint_eq(s->peers.port, 7000);
	ck_assert_uint_eq(s->store.port, 8524);
	ck_assert_int_eq(s->lease_max_ms, 5000);
	ck_assert_int_eq(s->grace_ms, 2500);
	ck_assert_int_eq(s->stop_timeout_ms, 400);
	ck_assert(s->cores > 0.49 && s->cores < 0.51);
	ck_assert_uint_eq(s->descriptors_max, 4096);
	ck_assert_int_eq(s->memory_mb, 120);
	talloc_free(s);
}
END_TEST

/* Guards against limits derived from a value whose conversion differs between processors. */
START_TEST(a_number_of_descriptors_that_is_none_has_the_default)
{
	static const char *const invalid[] = {"max-fds = -1", "max-fds = 1e30", "max-fds = 0"};
	char **parts = g_strsplit(valid_settings, "max-fds = 4096", 2);

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		char *error;
		char *text = g_strjoin(invalid[i], parts[0], parts[1], NULL);
		struct site *s = load(text, &error);

		ck_assert_ptr_nonnull(s);
		ck_assert_uint_eq(s->descriptors_max, 4100);
		talloc_free(s);
		g_free(text);
	}
	g_strfreev(parts);
}
END_TEST

/* decisions are as before in a deployment that does not ask for it */
START_TEST(evacuations_are_off_unless_the_settings_bound_them)
{
	char *error;
	struct site *s = load(valid_settings, &error);
	char **parts = g_strsplit(valid_settings, "remote-slowdown = 2", 2);
	char *text = g_strjoin("evacuate-ms = 5000", parts[0], parts[1], NULL);

	ck_assert_int_eq(s->evacuate_ms, 0);
	talloc_free(s);
	s = load(text, &error);
	ck_assert_int_eq(s->evacuate_ms, 5000);
	talloc_free(s);
	g_strfreev(parts);
	g_free(text);
}
END_TEST

START_TEST(a_missing_address_is_reported_by_key)
{
	char *error;
	char *text = strdup(valid_settings);

	memcpy(strstr(text, "front"), "frond", 5);
	ck_assert_ptr_null(load(text, &error));
	ck_assert_ptr_nonnull(strstr(error, "listen.front"));
	talloc_free(error);
	free(text);
}
END_TEST

START_TEST(invalid_toml_is_reported_with_its_line)
{
	char *error;

	ck_assert_ptr_null(load("node = \"a\"\nzone = = 3\n", &error));
	ck_assert_ptr_nonnull(strstr(error, ":2:"));
	talloc_free(error);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, settings_are_read_and_omitted_ones_have_defaults);
	tcase_add_test(t, a_number_of_descriptors_that_is_none_has_the_default);
	tcase_add_test(t, evacuations_are_off_unless_the_settings_bound_them);
	tcase_add_test(t, a_missing_address_is_reported_by_key);
	tcase_add_test(t, invalid_toml_is_reported_with_its_line);
}

int main(void)
{
	int fd = mkstemp(path);
	int code;

	if (fd < 0)
		return EXIT_FAILURE;
	close(fd);
	code = run_suite("site", add_tests);
	unlink(path);
	return code;
}
