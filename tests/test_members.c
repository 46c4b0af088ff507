/**
 * DOC: test_members - entries of the list of backend servers, valid and invalid
 */
#include <check.h>
#include <string.h>

#include "platform/members.h"
#include "settings/settings.h"
#include "runner.h"

#define ENTRY(STATE, BORN)                                                                    \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"" STATE "\"," \
	"\"remaining-ms\":4000,\"capacity\":{\"cpu\":64000,\"mem-mb\":100,\"gpu\":8},"        \
	"\"labels\":[\"a\",\"r1-2\"],\"born\":" BORN "}"

#define WALL_MS 1800000000000 /* in 2027 */

static struct fleet_server *apply(struct fleet *f, const char *text)
{
	const char *fault;

	return members_apply(f, "i-1", str_from(text), 1000, WALL_MS, &fault);
}

START_TEST(a_valid_entry_adds_a_server)
{
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *sv = apply(f, ENTRY("ready", "5"));

	ck_assert_ptr_nonnull(sv);
	ck_assert_int_eq(sv->presence, FLEET_LISTED);
	ck_assert_int_eq(sv->capacity.accelerators, 8);
	ck_assert_str_eq(fleet_rack_name(f, sv->rack), "r1-2");
	ck_assert(fleet_has_label(sv, "a"));
	talloc_free(f);
}
END_TEST

START_TEST(a_draining_server_has_a_deadline)
{
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *sv = apply(f, ENTRY("draining", "5"));

	ck_assert_int_eq(sv->presence, FLEET_DRAINING);
	ck_assert_int_eq(sv->drain_deadline, 5000);
	ck_assert_ptr_eq(apply(f, ENTRY("ready", "5")), sv);
	ck_assert_int_eq(sv->drain_deadline, 0);
	talloc_free(f);
}
END_TEST

START_TEST(a_later_start_is_another_incarnation)
{
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *old = apply(f, ENTRY("ready", "5"));
	struct fleet_server *newer = apply(f, ENTRY("ready", "6"));

	ck_assert_ptr_ne(old, newer);
	ck_assert_int_eq(old->presence, FLEET_REPLACED);
	ck_assert_ptr_null(apply(f, ENTRY("ready", "5")));
	talloc_free(f);
}
END_TEST

START_TEST(invalid_entries_are_rejected)
{
	static const char *const invalid[] = {
		"",
		"\x01\xff",
		"[]",
		"{}",
		"{\"service\":3}",
		ENTRY("resting", "5"),
		ENTRY("ready", "\"5\""),
		"{\"service\":\"s\",\"addr\":\"nowhere\",\"state\":\"ready\",\"born\":1,"
		"\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":1},\"labels\":[]}",
		"{\"service\":\"s\",\"addr\":\"a:1\",\"state\":\"ready\",\"born\":1,"
		"\"capacity\":{\"cpu\":\"1\",\"mem-mb\":1,\"gpu\":1},\"labels\":[]}",
	};
	struct fleet *f = fleet_new(NULL);
	struct fleet_server *sv = apply(f, ENTRY("ready", "5"));

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert_msg(!apply(f, invalid[i]), "entry %zu was accepted", i);
	ck_assert_int_eq(sv->presence, FLEET_LISTED);
	ck_assert_uint_eq(f->all->len, 1);
	talloc_free(f);
}
END_TEST

/* ---- one odd entry among sound ones ---- */

#define SOUND 99
#define DEPTH 100000 /* beyond what the parser accepts */

static const char *const odd_numbers[] = {
	"1e300",
	"-1e300",
	"1e400",
	"9223372036854775807",
	"9223372036854775808",
	"-9223372036854775808",
	"-1",
	"0.5",
	"\"8\"",
	"null",
	"true",
	"[]",
	"{}",
	"99999999999999",
};

static const char *const odd_texts[] = {
	"\"10.0.0.1:0\"",
	"\"10.0.0.1:65536\"",
	"\"10.0.0.1:-1\"",
	"\"10.0.0.1:99999999999999999999\"",
	"\"nowhere:80\"",
	"\"10.0.0.1\"",
	"\":\"",
	"\"\"",
	"-7",
	"null",
	"\"\\u0000:80\"",
	"\"\xff\xfe:80\"",
};

#define PICK(rng, list) list[g_rand_int_range(rng, 0, G_N_ELEMENTS(list))]

static char *deep(TALLOC_CTX *ctx, unsigned int depth)
{
	char *text = talloc_array(ctx, char, 2 * (size_t)depth + 1);

	memset(text, '[', depth);
	memset(text + depth, ']', depth);
	text[2 * (size_t)depth] = 0;
	return text;
}

/* One field of a sound entry is odd. */
static char *odd_entry(TALLOC_CTX *ctx, GRand *rng)
{
	const char *field[8] = {"\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "64000", "100",
				"8",	 "[\"a\",\"r\"]",   "5"};
	unsigned int at = (unsigned int)g_rand_int_range(rng, 0, 8);
	char *long_text = talloc_array(ctx, char, 60003);

	memset(long_text, 'x', 60002);
	long_text[0] = long_text[60001] = '"';
	long_text[60002] = 0;
	switch (g_rand_int_range(rng, 0, 4)) {
	case 0:
		field[at] = PICK(rng, odd_numbers);
		break;
	case 1:
		field[at] = PICK(rng, odd_texts);
		break;
	case 2:
		field[at] = deep(ctx, (unsigned int)g_rand_int_range(rng, 1, DEPTH));
		break;
	default:
		field[at] = long_text;
		break;
	}
	return talloc_asprintf(ctx,
			       "{\"service\":%s,\"addr\":%s,\"zone\":\"z\",\"state\":%s,"
			       "\"capacity\":{\"cpu\":%s,\"mem-mb\":%s,\"gpu\":%s},\"labels\":%s,"
			       "\"born\":%s}",
			       field[0], field[1], field[2], field[3], field[4], field[5], field[6],
			       field[7]);
}

static void assert_usable(const struct fleet_server *sv)
{
	struct address address;

	ck_assert(address_parse(sv->address, &address));
	ck_assert_uint_le(strlen(sv->service), MEMBERS_TEXT_MAX);
	ck_assert_int_ge(sv->capacity.cpu, 0);
	ck_assert_int_le(sv->capacity.cpu, MEMBERS_CPU_MAX);
	ck_assert_int_ge(sv->capacity.memory_mb, 0);
	ck_assert_int_le(sv->capacity.memory_mb, MEMBERS_MEMORY_MB_MAX);
	ck_assert_int_ge(sv->capacity.accelerators, 0);
	ck_assert_int_le(sv->capacity.accelerators, MEMBERS_ACCELERATORS_MAX);
	ck_assert_int_le(sv->born, WALL_MS + MEMBERS_BORN_AHEAD_MS);
	for (unsigned int i = 0; i < sv->label_count; i++)
		ck_assert_uint_le(strlen(sv->labels[i]), MEMBERS_TEXT_MAX);
}

START_TEST(an_odd_entry_changes_nothing_for_the_sound_ones)
{
	GRand *rng = g_rand_new_with_seed((guint32)_i);
	struct fleet *f = fleet_new(NULL);
	const char *fault;

	for (unsigned int round = 0; round < 20; round++) {
		unsigned int odd = (unsigned int)g_rand_int_range(rng, 0, SOUND + 1);

		for (unsigned int i = 0; i <= SOUND; i++) {
			TALLOC_CTX *tmp = talloc_new(f);
			char *id = talloc_asprintf(tmp, "i-%u", i);
			const char *text = i == odd ? odd_entry(tmp, rng) : ENTRY("ready", "5");
			struct fleet_server *sv =
				members_apply(f, id, str_from(text), 1000, WALL_MS, &fault);

			ck_assert_msg(i == odd || sv, "round %u: %s", round, fault);
			if (sv)
				assert_usable(sv);
			talloc_free(tmp);
		}
	}
	for (unsigned int i = 0; i <= SOUND; i++) {
		struct fleet_server *sv = fleet_find(f, talloc_asprintf(f, "i-%u", i));

		if (!sv)
			continue;
		ck_assert_int_eq(sv->presence, FLEET_LISTED);
		assert_usable(sv);
	}
	g_rand_free(rng);
	talloc_free(f);
}
END_TEST

/* Guards against a header that the id of another writer's entry ends or adds to. */
START_TEST(an_id_that_no_call_can_name_is_no_server)
{
	static const char *const odd[] = {"",	  " ",	 "a ", " a", "a\nb", "a\r\nX-Other: 1",
					  "\177", "a\tb"};
	static const char *const sound[] = {"i-1", "a b", "r&d/7", "\303\251", "\"", "%7E"};
	struct fleet *f = fleet_new(NULL);
	const char *fault;

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		ck_assert_ptr_null(members_apply(f, odd[i], str_from(ENTRY("ready", "5")), 0,
						 WALL_MS, &fault));
		ck_assert_ptr_nonnull(fault);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sound); i++)
		ck_assert_ptr_nonnull(members_apply(f, sound[i], str_from(ENTRY("ready", "5")), 0,
						    WALL_MS, &fault));
	talloc_free(f);
}
END_TEST

/* Guards against a server that is kept out for good by an entry from the future. */
START_TEST(an_entry_that_began_far_ahead_keeps_no_later_one_out)
{
	struct fleet *f = fleet_new(NULL);

	ck_assert_ptr_null(apply(f, ENTRY("ready", "9223372036854775807")));
	ck_assert_ptr_nonnull(apply(f, ENTRY("ready", "6")));
	ck_assert_ptr_null(apply(f, ENTRY("ready", "4102444800000")));
	ck_assert_ptr_nonnull(apply(f, ENTRY("ready", "7")));
	talloc_free(f);
}
END_TEST

START_TEST(a_draining_server_cannot_announce_that_it_stays_for_ever)
{
	struct fleet *f = fleet_new(NULL);
	const char *fault;
	struct fleet_server *sv = members_apply(
		f, "i-1",
		str_from(
			"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":"
			"\"draining\",\"remaining-ms\":9223372036854775807,\"capacity\":{\"cpu\":1,"
			"\"mem-mb\":1,\"gpu\":1},\"labels\":[],\"born\":5}"),
		INT64_MAX / 2, WALL_MS, &fault);

	ck_assert(!sv || (sv->drain_deadline >= INT64_MAX / 2 &&
			  sv->drain_deadline - INT64_MAX / 2 <= MEMBERS_REMAINING_MAX_MS));
	talloc_free(f);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_loop_test(t, an_odd_entry_changes_nothing_for_the_sound_ones, 0, 20);
	tcase_add_test(t, an_id_that_no_call_can_name_is_no_server);
	tcase_add_test(t, an_entry_that_began_far_ahead_keeps_no_later_one_out);
	tcase_add_test(t, a_draining_server_cannot_announce_that_it_stays_for_ever);
	tcase_add_test(t, a_valid_entry_adds_a_server);
	tcase_add_test(t, a_draining_server_has_a_deadline);
	tcase_add_test(t, a_later_start_is_another_incarnation);
	tcase_add_test(t, invalid_entries_are_rejected);
}

int main(void)
{
	return run_suite("members", add_tests);
}
