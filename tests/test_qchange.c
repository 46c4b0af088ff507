/**
 * DOC: test_qchange - changes between versions of the queues, applied, kept and received malformed
 */
#include <check.h>
#include <string.h>

#include "qchange/qchange.h"
#include "runner.h"

#define QUEUES 4000

static void set_queue(struct queues *q, struct queue *queue, unsigned int name, GRand *rng)
{
	queue->name = talloc_asprintf(q, "r-%u", name);
	queue->host = talloc_strdup(q, "jobs.example");
	queue->prefix = talloc_asprintf(q, "/%08x/", name);
	queue->service = talloc_strdup(q, "pool");
	queue->priority = name % 2;
	queue->attempts = rng ? g_rand_int_range(rng, 1, 5) : 3;
	queue->stretch = 1.5;
	queue->slo_ms = 1000;
	queue->is_public = name % 7 == 0;
}

static struct queues *declare(int64_t version, unsigned int count)
{
	struct queues *q = talloc_zero(NULL, struct queues);

	q->version = version;
	q->body_max = 1000;
	q->queue = talloc_zero_array(q, struct queue, count);
	for (; q->queue_count < count; q->queue_count++)
		set_queue(q, &q->queue[q->queue_count], q->queue_count, NULL);
	q->workspace = talloc_zero_array(q, struct workspace, 1);
	q->workspace_count = 1;
	q->workspace->name = talloc_strdup(q, "w");
	q->workspace->keys = talloc_zero_array(q, char *, 2);
	q->workspace->keys[0] = talloc_asprintf(q, "k%d", (int)version / 3);
	q->workspace->key_count = 1;
	q->workspace->guaranteed_accelerators = 16;
	return q;
}

/* Queues of @before, of which some are left out, changed, repeated or moved, and new ones. */
static struct queues *edit(const struct queues *before, GRand *rng)
{
	unsigned int count = (unsigned int)g_rand_int_range(rng, 0, 60);
	struct queues *q = declare(before->version + 1, count);

	for (unsigned int i = 0; i < count; i++) {
		if (before->queue_count && g_rand_double(rng) < 0.8)
			q->queue[i] =
				before->queue[g_rand_boolean(rng)
						      ? i % before->queue_count
						      : (guint)g_rand_int_range(
								rng, 0, (gint)before->queue_count)];
		else
			set_queue(q, &q->queue[i], (guint)g_rand_int_range(rng, 0, 200), rng);
	}
	return q;
}

static void assert_equal(const struct queues *a, const struct queues *b)
{
	ck_assert_int_eq(a->version, b->version);
	ck_assert_int_eq(a->body_max, b->body_max);
	ck_assert_uint_eq(a->queue_count, b->queue_count);
	for (unsigned int i = 0; i < a->queue_count; i++) {
		ck_assert_str_eq(a->queue[i].name, b->queue[i].name);
		ck_assert_str_eq(a->queue[i].host, b->queue[i].host);
		ck_assert_str_eq(a->queue[i].prefix, b->queue[i].prefix);
		ck_assert_str_eq(a->queue[i].service, b->queue[i].service);
		ck_assert_int_eq(a->queue[i].priority, b->queue[i].priority);
		ck_assert_int_eq(a->queue[i].attempts, b->queue[i].attempts);
		ck_assert(a->queue[i].stretch == b->queue[i].stretch);
		ck_assert_int_eq(a->queue[i].slo_ms, b->queue[i].slo_ms);
		ck_assert_int_eq(a->queue[i].is_public, b->queue[i].is_public);
		ck_assert_int_eq(a->queue[i].has_advisor, b->queue[i].has_advisor);
	}
	ck_assert_uint_eq(a->workspace_count, b->workspace_count);
	ck_assert_str_eq(a->workspace->name, b->workspace->name);
	ck_assert_str_eq(a->workspace->keys[0], b->workspace->keys[0]);
	ck_assert_int_eq(a->workspace->guaranteed_accelerators,
			 b->workspace->guaranteed_accelerators);
}

START_TEST(a_chain_of_changes_makes_the_same_declaration)
{
	GRand *rng = g_rand_new_with_seed((guint32)_i);
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct queues *there = declare(1, 40);
	const char *fault;
	struct queues *here = qchange_apply(ctx, NULL, qchange_encode(ctx, NULL, there), &fault);

	ck_assert_ptr_nonnull(here);
	assert_equal(there, here);
	for (int i = 0; i < 30; i++) {
		struct queues *next = edit(there, rng);

		here = qchange_apply(ctx, here, qchange_encode(ctx, there, next), &fault);
		ck_assert_msg(here != NULL, "%s", fault);
		assert_equal(next, here);
		talloc_steal(next, there);
		there = next;
	}
	g_rand_free(rng);
	talloc_free(there);
	talloc_free(ctx);
}
END_TEST

/* Guards against sending a whole declaration for each change over small links. */
START_TEST(a_change_of_few_among_many_queues_is_small)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct queues *before = declare(1, QUEUES);
	struct queues *after = declare(2, QUEUES + 1);

	after->queue[QUEUES / 2].attempts = 9;
	ck_assert_uint_lt(qchange_encode(ctx, before, after).len, 1000);
	ck_assert_uint_gt(qchange_encode(ctx, NULL, after).len, 100 * QUEUES / 2);
	talloc_free(before);
	talloc_free(after);
	talloc_free(ctx);
}
END_TEST

START_TEST(a_change_applies_only_to_the_version_that_it_follows)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct queues *v1 = declare(1, 5);
	struct queues *v2 = declare(2, 6);
	struct queues *v3 = declare(3, 7);
	struct str change = qchange_encode(ctx, v2, v3);
	const char *fault;

	ck_assert_ptr_null(qchange_apply(ctx, v1, change, &fault));
	ck_assert_str_eq(fault, "it follows another version");
	ck_assert_ptr_null(qchange_apply(ctx, NULL, change, &fault));
	ck_assert_ptr_null(qchange_apply(ctx, v3, qchange_encode(ctx, NULL, v2), &fault));
	ck_assert_str_eq(fault, "it is not newer");
	ck_assert_ptr_nonnull(qchange_apply(ctx, v1, qchange_encode(ctx, NULL, v3), &fault));
	talloc_free(v1);
	talloc_free(v2);
	talloc_free(v3);
	talloc_free(ctx);
}
END_TEST

START_TEST(malformed_changes_are_rejected)
{
	GRand *rng = g_rand_new_with_seed((guint32)_i);
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct queues *before = declare(1, 5);
	struct queues *after = declare(2, 9);
	struct str change = qchange_encode(ctx, before, after);
	char *bytes = talloc_memdup(ctx, change.ptr, change.len);
	const char *fault;

	ck_assert_ptr_null(qchange_apply(ctx, before, (struct str){"", 0}, &fault));
	ck_assert_ptr_null(
		qchange_apply(ctx, before, (struct str){change.ptr, change.len / 2}, &fault));
	for (int i = 0; i < 200; i++) {
		size_t at = (size_t)g_rand_int_range(rng, 0, (gint)change.len);

		bytes[at] = (char)g_rand_int(rng);
		qchange_apply(ctx, before, (struct str){bytes, change.len}, &fault);
		bytes[at] = change.ptr[at];
	}
	ck_assert_ptr_nonnull(qchange_apply(ctx, before, (struct str){bytes, change.len}, &fault));
	g_rand_free(rng);
	talloc_free(before);
	talloc_free(after);
	talloc_free(ctx);
}
END_TEST

START_TEST(the_history_leads_from_a_version_to_the_newest)
{
	struct qchange_history *h = qchange_history_new(NULL);
	struct str out[QCHANGE_HISTORY_STEPS];
	char *large = talloc_zero_size(h, QCHANGE_HISTORY_BYTES);

	qchange_history_add(h, 0, 2, str_from("the first is not kept"));
	qchange_history_add(h, 2, 5, str_from("a"));
	qchange_history_add(h, 5, 6, str_from("b"));
	qchange_history_add(h, 6, 9, str_from("c"));
	ck_assert_uint_eq(qchange_history_since(h, 5, out), 2);
	ck_assert(str_eq(out[0], str_from("b")) && str_eq(out[1], str_from("c")));
	ck_assert_uint_eq(qchange_history_since(h, 4, out), 0);
	ck_assert_uint_eq(qchange_history_since(h, 9, out), 0);
	/* a gap */
	qchange_history_add(h, 10, 11, str_from("d"));
	ck_assert_uint_eq(qchange_history_since(h, 5, out), 0);
	ck_assert_uint_eq(qchange_history_since(h, 10, out), 1);
	/* beyond the limit */
	qchange_history_add(h, 11, 12, (struct str){large, QCHANGE_HISTORY_BYTES});
	ck_assert_uint_eq(qchange_history_since(h, 10, out), 0);
	ck_assert_uint_eq(qchange_history_since(h, 11, out), 1);
	qchange_history_add(h, 12, 13, (struct str){large, QCHANGE_HISTORY_BYTES + 1});
	ck_assert_uint_eq(qchange_history_since(h, 11, out), 0);
	talloc_free(h);
}
END_TEST

START_TEST(the_history_is_bounded)
{
	struct qchange_history *h = qchange_history_new(NULL);
	struct str out[QCHANGE_HISTORY_STEPS];
	int64_t last = 3 * QCHANGE_HISTORY_STEPS;

	for (int64_t v = 1; v < last; v++)
		qchange_history_add(h, v, v + 1, str_from("x"));
	ck_assert_uint_eq(qchange_history_since(h, 1, out), 0);
	ck_assert_uint_eq(qchange_history_since(h, last - QCHANGE_HISTORY_STEPS, out),
			  QCHANGE_HISTORY_STEPS);
	talloc_free(h);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_loop_test(t, a_chain_of_changes_makes_the_same_declaration, 0, 20);
	tcase_add_test(t, a_change_of_few_among_many_queues_is_small);
	tcase_add_test(t, a_change_applies_only_to_the_version_that_it_follows);
	tcase_add_loop_test(t, malformed_changes_are_rejected, 0, 10);
	tcase_add_test(t, the_history_leads_from_a_version_to_the_newest);
	tcase_add_test(t, the_history_is_bounded);
}

int main(void)
{
	return run_suite("qchange", add_tests);
}
