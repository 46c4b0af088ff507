#include "sited.h"

#include <string.h>

#include "mtimer/mtimer.h"

/*
 * A change must be in force 2 s after it was stored. A feed that waits answers
 * at once; its wait bounds how long a connection that went silent is believed.
 */
#define CONFIG_WAIT_MS 1200
#define CONFIG_ANSWER_MS 600 /* on top of the wait */

static void read_config(struct sited *d);
static void follow_config(struct sited *d);

static void on_read_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	read_config(data);
}

static void on_follow_timer(struct mtimer *timer G_GNUC_UNUSED, void *data)
{
	follow_config(data);
}

static void take_config(struct sited *d, const struct store_row *row)
{
	struct queues *q;

	if (strcmp(row->key, OPERATOR_CONFIG_KEY) || row->removed)
		return;
	q = operator_decode(d, row->value);
	if (!q) {
		log_warn("config_unreadable",
			 "row version %" PRId64 " holds no configuration; %" PRId64
			 " stays in force",
			 row->version, d->queues ? d->queues->version : 0);
		return;
	}
	if (d->queues && q->version <= d->queues->version) {
		talloc_free(q);
		return;
	}
	log_event("config_taken", "{sI sI sI sI}", "version", (json_int_t)q->version, "before",
		  (json_int_t)(d->queues ? d->queues->version : 0), "queues",
		  (json_int_t)q->queue_count, "row_version", (json_int_t)row->version);
	talloc_free(d->queues);
	d->queues = q;
}

static void on_config(const struct store_result *r, void *data)
{
	struct sited *d = data;

	if (r->status != STORE_OK) {
		mtimer_add(d, d->ev, base_deadline_in(SITED_RETRY_MS), on_read_timer, d);
		return;
	}
	for (unsigned int i = 0; i < r->count; i++)
		take_config(d, &r->rows[i]);
	d->config_version = r->version;
	follow_config(d);
}

static void read_config(struct sited *d)
{
	struct store_range range = {OPERATOR_TABLE, "", OPERATOR_CONFIG_KEY, 1};

	store_read(d->store, &range, base_deadline_in(SITED_CALL_MS), on_config, d);
}

static void on_change(const struct store_result *r, void *data)
{
	struct sited *d = data;

	switch (r->status) {
	case STORE_OK:
		for (unsigned int i = 0; i < r->count; i++)
			take_config(d, &r->rows[i]);
		d->config_version = MAX(d->config_version, r->version);
		follow_config(d);
		break;
	case STORE_HISTORY_GONE:
		log_event("config_history_gone", "{sI}", "after", (json_int_t)d->config_version);
		read_config(d);
		break;
	default:
		mtimer_add(d, d->ev, base_deadline_in(SITED_RETRY_MS), on_follow_timer, d);
		break;
	}
}

static void follow_config(struct sited *d)
{
	store_feed(d->store, OPERATOR_TABLE, d->config_version, CONFIG_WAIT_MS,
		   base_deadline_in(CONFIG_WAIT_MS + CONFIG_ANSWER_MS), on_change, d);
}

void sited_config_start(struct sited *d)
{
	read_config(d);
}
