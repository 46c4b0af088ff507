#include "sited.h"

#include <string.h>

/*
 * A change must be in force 2 s after it was stored, also when the connection
 * went silent while a call waited.
 */
#define CONFIG_WAIT_MS 1200

static void read_config(void *data);

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

static void on_rows(const struct table_page *page, void *data)
{
	for (unsigned int i = 0; i < page->count; i++)
		take_config(data, &page->rows[i]);
}

static struct table_source config_source(struct sited *d)
{
	struct table_source source = {d, d->ev, d->store, OPERATOR_TABLE, "", OPERATOR_CONFIG_KEY};

	return source;
}

static void follow_config(int64_t version, void *data)
{
	struct table_source source = config_source(data);

	table_follow(&source, version, CONFIG_WAIT_MS, on_rows, read_config, data);
}

static void read_config(void *data)
{
	struct table_source source = config_source(data);

	table_read(&source, on_rows, follow_config, data);
}

void sited_config_start(struct sited *d)
{
	read_config(d);
}
