#include "sited.h"

#include <string.h>

/*
 * A change must be in force within 2 s after it was stored, even when the connection
 * died while a feed call was waiting.
 */
#define CONFIG_WAIT_MS 1200

static void read_config(void *data);

void sited_config_apply(struct sited *d, struct str value, const char *source)
{
	struct queues *q = operator_decode(d, value);
	int64_t before = d->queues ? d->queues->version : 0;

	if (!q) {
		log_warn("config_unreadable",
			 "invalid configuration from %s; version %" PRId64 " stays in force",
			 source, before);
		return;
	}
	if (d->queues && q->version <= before) {
		talloc_free(q);
		return;
	}
	log_event("config_taken", "{sI sI sI sI ss}", "version", (json_int_t)q->version, "before",
		  (json_int_t)before, "queues", (json_int_t)q->queue_count, "bytes",
		  (json_int_t)value.len, "source", source);
	talloc_free(d->queues);
	talloc_free(d->config_text);
	d->queues = q;
	d->config_text = str_dup(d, value);
}

static void apply_row(struct sited *d, const struct store_row *row)
{
	if (!row->removed && !strcmp(row->key, OPERATOR_CONFIG_KEY))
		sited_config_apply(d, row->value, "the store");
}

static void on_rows(const struct table_page *page, void *data)
{
	for (unsigned int i = 0; i < page->count; i++)
		apply_row(data, &page->rows[i]);
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
