#include "ledger.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct ledger {
	int fd;
};

static int ledger_destructor(struct ledger *ledger)
{
	close(ledger->fd);
	return 0;
}

struct ledger *ledger_new(TALLOC_CTX *ctx, const char *path)
{
	struct ledger *ledger = talloc_zero(ctx, struct ledger);

	ledger->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (ledger->fd < 0) {
		talloc_free(ledger);
		return NULL;
	}
	talloc_set_destructor(ledger, ledger_destructor);
	return ledger;
}

void ledger_write(struct ledger *ledger, json_t *entry)
{
	char *raw;
	size_t len;

	if (!ledger) {
		json_decref(entry);
		return;
	}
	json_object_set_new(entry, "time_us", json_integer(base_wall_us()));
	raw = json_dumps(entry, JSON_COMPACT);
	len = strlen(raw);
	raw[len] = '\n';
	if (write(ledger->fd, raw, len + 1) < 0)
		g_warning("ledger: cannot write an entry; it is lost");
	free(raw);
	json_decref(entry);
}
