/**
 * DOC: test_settings - all errors of a file are reported together, with file, line and key
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "settings/settings.h"
#include "runner.h"

static char path[] = "/tmp/currantlane-settings-XXXXXX";

static const char good[] = "[vm]\nid = \"e0\"\nfailure_domain = \"fd\"\n"
			   "peer_networks = [\"127.0.0.0/8\"]\nseeds = [\"127.0.0.1:1\"]\n"
			   "[platform]\naddress = \"127.0.0.1:2\"\n"
			   "[entry]\ncallers = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n"
			   "operators = \"127.0.0.1:5\"\n"
			   "[sched]\npeers = \"127.0.0.1:6\"\noperators = \"127.0.0.1:7\"\n";

static struct settings *load(const char *text, char **faults)
{
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return settings_load(NULL, path, faults);
}

START_TEST(defaults_fill_what_is_left_out)
{
	char *faults;
	struct settings *s = load(good, &faults);

	ck_assert_ptr_nonnull(s);
	ck_assert_int_eq(s->entry_threads, 2);
	ck_assert_uint_eq(s->entry_callers.port, 3);
	ck_assert_str_eq(s->log_file, "-");
	talloc_free(s);
}
END_TEST

START_TEST(all_faults_are_told_at_once)
{
	char *text =
		g_strconcat(good, "threads = \"two\"\n[policy]\nlease_ms = 5\nspeed = 1\n", NULL);
	char *faults;

	ck_assert_ptr_null(load(text, &faults));
	ck_assert_ptr_nonnull(strstr(faults, ":15: sched.threads: expected no such key"));
	ck_assert_ptr_nonnull(
		strstr(faults, ":17: policy.lease_ms: expected a whole number from 1000"));
	ck_assert_ptr_nonnull(strstr(faults, ":18: policy.speed: expected no such key"));
	talloc_free(faults);
	g_free(text);
}
END_TEST

START_TEST(addresses_are_ip_and_port)
{
	struct address a;

	ck_assert(address_parse("127.0.0.1:80", &a));
	ck_assert(!address_parse("localhost:80", &a));
	ck_assert(!address_parse("127.0.0.1", &a));
	ck_assert(!address_parse("127.0.0.1:0", &a));
	ck_assert(!address_parse("127.0.0.1:70000", &a));
	ck_assert(!address_parse(NULL, &a));
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, defaults_fill_what_is_left_out);
	tcase_add_test(t, all_faults_are_told_at_once);
	tcase_add_test(t, addresses_are_ip_and_port);
}

int main(void)
{
	int code;

	if (mkstemp(path) < 0)
		return EXIT_FAILURE;
	code = run_suite("settings", add_tests);
	unlink(path);
	return code;
}
