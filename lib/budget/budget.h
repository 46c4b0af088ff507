/**
 * DOC: budget - memory of request bodies, and which connection is closed when it is short
 *
 * Load pattern: many clients at once send bodies of the largest legal size, or begin such
 * bodies, stop before their end and keep the connections open, while ordinary callers send
 * bodies of a few KB. Or clients open more connections than the process can have.
 *
 * A body of up to BUDGET_SMALL_BYTES is always admitted: the limit on connections leaves room
 * for one on each. Larger bodies share one budget. When it is short, connections are closed
 * whose requests are incomplete and make no progress; when there are none, the body is not
 * admitted. The functions do no I/O; times are in ns on the clock of base_now_ns().
 */
#ifndef BUDGET_H
#define BUDGET_H

#include "base/base.h"

/* Twice the largest body that ordinary callers send, which is 5,000 bytes, in whole pages. */
#define BUDGET_SMALL_BYTES 8192
/*
 * A request makes progress when it has received so many further bytes, or its rest, within
 * this time. At this rate a body of 256 KB takes 8 s, while callers wait for 3 s by default.
 * A lost segment is repeated well within this time.
 */
#define BUDGET_PROGRESS_BYTES 16384
#define BUDGET_STALL_MS 500
/*
 * Time within which a request must be complete once its headers are. Callers wait 3 s by
 * default, which is time for 3.7 MB on the smallest link (10 Mbit/s). Those that name a longer
 * time get three times that.
 */
#define BUDGET_REQUEST_MAX_MS 10000

/*
 * Memory that a process takes besides connections and bodies: the leader of 350 servers takes
 * 35 MB at its peak, and decoding one body takes up to 9 MB for a moment.
 */
#define BUDGET_PROCESS_BYTES (45 * 1024 * 1024)
/*
 * Memory of a connection: the pool of libmicrohttpd (32 KB), the kernel's receive buffer (64 KB),
 * a small body with the copies made while it is handled (7 times 8 KB), and rows of tables (4 KB).
 */
#define BUDGET_CONNECTION_BYTES ((32 + 64 + 7 * 8 + 4) * 1024)
#define BUDGET_CONNECTIONS_SHARE 0.6 /* of the memory left; bodies get the rest */
#define BUDGET_CONNECTIONS_MIN 16

/**
 * struct budget_limits - limits of one server
 * @connections_max: further connections replace idle or stalled ones
 * @bodies_max: bytes of all bodies above BUDGET_SMALL_BYTES, with the copies made of them
 */
struct budget_limits {
	unsigned int connections_max;
	size_t bodies_max;
};

/**
 * budget_limits_for() - limits that fit into the memory of a process
 * @memory_bytes: memory that the process may take
 * @connections_cap: most connections, because of descriptors
 * @body_bytes: what a single body of the largest legal size needs; always fits
 */
struct budget_limits budget_limits_for(size_t memory_bytes, unsigned int connections_cap,
				       size_t body_bytes);

enum budget_state {
	BUDGET_IDLE,	  /* between requests, or the headers are incomplete */
	BUDGET_READING,	  /* the body is incomplete */
	BUDGET_HANDLING,  /* the request is complete and has no answer yet; never closed */
	BUDGET_ANSWERING, /* the answer is being sent */
};

/**
 * struct budget_conn - a connection, part of the server's own struct
 * @link: position in the list of connections
 * @state: set by the functions below
 * @has_been_served: it has received an answer
 * @is_closing: it has been chosen to be closed, and no longer counts
 * @began_at: when the headers of the request were complete, while reading
 * @progress_at: when the connection was opened, its state changed, or its request last made
 *	progress
 * @unmarked: bytes received since @progress_at
 * @charged: bytes of the shared budget that its request holds
 * @unread_at: when bytes were last found that it has sent and nobody has read; 0 for never.
 *	Set by the server before it closes the connection for a new one
 */
struct budget_conn {
	GList link;
	enum budget_state state;
	bool has_been_served;
	bool is_closing;
	int64_t began_at;
	int64_t progress_at;
	size_t unmarked;
	size_t charged;
	int64_t unread_at;
};

/**
 * struct budget - connections of one server and what their requests hold
 * @conns: list of struct budget_conn
 * @count: number of connections that are not being closed
 * @charged: bytes of the shared budget in use
 */
struct budget {
	struct budget_limits limits;
	GQueue conns;
	unsigned int count;
	size_t charged;
};

/** budget_add() - a connection was opened; @c is zeroed */
void budget_add(struct budget *b, struct budget_conn *c, int64_t now);
/** budget_remove() - a connection has ended */
void budget_remove(struct budget *b, struct budget_conn *c);
/** budget_close() - the connection is being closed: it holds nothing and no longer counts */
void budget_close(struct budget *b, struct budget_conn *c);
/** budget_set_state() - a request began, is complete, is answered or has ended */
void budget_set_state(struct budget *b, struct budget_conn *c, enum budget_state state,
		      int64_t now);
/** budget_received() - @len further bytes of the body have arrived */
void budget_received(struct budget_conn *c, size_t len, int64_t now);

enum budget_outcome {
	BUDGET_GRANTED,	   /* the request is charged for its new size */
	BUDGET_DISCONNECT, /* close the connection given, then ask again */
	BUDGET_SHORT,	   /* the request is not admitted now */
};

/**
 * budget_charge() - a request needs @bytes in all
 * @victim: set to the connection to close for BUDGET_DISCONNECT, else to NULL
 *
 * Connections are closed only when this frees enough.
 */
enum budget_outcome budget_charge(struct budget *b, struct budget_conn *c, size_t bytes,
				  int64_t now, struct budget_conn **victim);
/** budget_release() - the request holds nothing any more */
void budget_release(struct budget *b, struct budget_conn *c);

/**
 * budget_excess() - connection to close because there are more than the limit, or NULL
 * @newest: the connection just opened, which is not chosen; NULL at a regular check, which leaves
 *	other new connections as well
 *
 * Stalled requests go first, then connections that have sent no request for BUDGET_STALL_MS
 * after they were opened, then those idle for longest. Requests that make progress or are being
 * handled stay, and for BUDGET_STALL_MS connections with unread bytes: a request is on its way.
 */
struct budget_conn *budget_excess(const struct budget *b, const struct budget_conn *newest,
				  int64_t now);
/**
 * budget_overdue() - a connection whose request is incomplete for BUDGET_REQUEST_MAX_MS, or that
 *	has sent no complete headers for @idle_ms, or NULL
 */
struct budget_conn *budget_overdue(const struct budget *b, int64_t idle_ms, int64_t now);

#endif
