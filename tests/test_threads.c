/**
 * DOC: test_threads - inbox and snapshot with several threads
 *
 * Guards against messages that are lost, repeated or reordered, and against
 * readers that see a partly written or freed value. ThreadSanitizer (make
 * tsan) also reports data races that don't change the result of a run.
 */
#include <check.h>
#include <pthread.h>
#include <stdlib.h>

#include "inbox/inbox.h"
#include "snapshot/snapshot.h"
#include "runner.h"

#define MESSAGES_PER_SENDER 20000
#define SENDERS 4
#define LAST_VERSION 2000

struct numbered_msg {
	struct inbox_msg msg;
	int sender;
	int number;
};

struct receiver {
	struct inbox *inbox;
	int next_number[SENDERS];
	int received;
	bool is_ordered;
};

static void on_message(struct inbox_msg *msg, void *data)
{
	struct numbered_msg *n = (struct numbered_msg *)msg;
	struct receiver *r = data;

	r->is_ordered = r->is_ordered && n->number == r->next_number[n->sender]++;
	r->received++;
	g_free(n);
}

struct sender {
	struct receiver *receiver;
	int index;
};

static void *send_many(void *data)
{
	struct sender *s = data;

	for (int i = 0; i < MESSAGES_PER_SENDER; i++) {
		struct numbered_msg *n = g_new0(struct numbered_msg, 1);

		n->msg.run = on_message;
		n->sender = s->index;
		n->number = i;
		inbox_push(s->receiver->inbox, &n->msg);
	}
	return NULL;
}

START_TEST(every_message_arrives_once_and_in_order)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct receiver r = {.is_ordered = true};
	struct sender senders[SENDERS];
	pthread_t threads[SENDERS];

	r.inbox = inbox_new(ev, ev, &r);
	for (int i = 0; i < SENDERS; i++) {
		senders[i] = (struct sender){&r, i};
		pthread_create(&threads[i], NULL, send_many, &senders[i]);
	}
	while (r.received < SENDERS * MESSAGES_PER_SENDER)
		tevent_loop_once(ev);
	for (int i = 0; i < SENDERS; i++)
		pthread_join(threads[i], NULL);
	ck_assert(r.is_ordered);
	talloc_free(ev);
}
END_TEST

/* a reader that sees different members has read a partly written or freed value */
struct value {
	int first;
	int second;
};

static struct snapshot shared;
static _Atomic bool is_done;
static _Atomic int bad_reads;

static void *read_many(void *data)
{
	int last = 0;

	snapshot_thread_register();
	while (!atomic_load(&is_done)) {
		const struct value *v = snapshot_read_begin(&shared);

		if (v->first != v->second || v->first < last)
			atomic_fetch_add(&bad_reads, 1);
		last = v->first;
		snapshot_read_end();
	}
	snapshot_thread_unregister();
	return NULL;
}

static void free_value(void *p)
{
	struct value *v = p;

	v->first = -1;
	v->second = -2;
	g_free(v);
}

START_TEST(readers_see_whole_values_in_order)
{
	pthread_t threads[3];

	snapshot_thread_register();
	for (int i = 0; i <= LAST_VERSION; i++) {
		struct value *v = g_new0(struct value, 1);

		v->first = v->second = i;
		snapshot_publish(&shared, v, free_value);
		if (i == 0)
			for (int t = 0; t < 3; t++)
				pthread_create(&threads[t], NULL, read_many, NULL);
	}
	atomic_store(&is_done, true);
	for (int t = 0; t < 3; t++)
		pthread_join(threads[t], NULL);
	ck_assert_int_eq(atomic_load(&bad_reads), 0);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, every_message_arrives_once_and_in_order);
	tcase_add_test(t, readers_see_whole_values_in_order);
}

int main(void)
{
	return run_suite("threads", add_tests);
}
