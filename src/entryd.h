/**
 * DOC: entryd - what the files of currantlane-entryd share
 *
 * The main thread ("control") owns the cluster, the peers' port, the
 * operators' port and the renewal of leases. Every worker thread serves
 * callers with its own event loop; it reads the view through RCU and is
 * reached by messages only.
 */
#ifndef ENTRYD_H
#define ENTRYD_H

#include <pthread.h>
#include <tevent.h>

#include "backend/backend.h"
#include "base/base.h"
#include "catalogue/catalogue.h"
#include "cluster/cluster.h"
#include "httpd/httpd.h"
#include "inbox/inbox.h"
#include "settings/settings.h"
#include "snapshot/snapshot.h"
#include "trace/trace.h"

#define ENTRYD_WORKERS_MAX 16
#define ID_MAX 128

#define ENTRYD_COUNTERS(X)                                      \
	X(COUNT_REQUESTS, "requests_total")                     \
	X(COUNT_DONE, "requests_done_total")                    \
	X(COUNT_FAILED, "requests_failed_total")                \
	X(COUNT_NOT_RUN, "requests_not_run_total")              \
	X(COUNT_UNKNOWN, "requests_unknown_total")              \
	X(COUNT_BAD_INPUT, "requests_bad_input_total")          \
	X(COUNT_RETRIES, "retries_total")                       \
	X(COUNT_BUDGET_EMPTY, "retries_over_budget_total")      \
	X(COUNT_SETTLED, "requests_settled_by_status_total")    \
	X(COUNT_HANDED_OVER, "requests_handed_to_owner_total")  \
	X(COUNT_EXPIRED, "requests_expired_in_queue_total")     \
	X(COUNT_SHED, "requests_shed_total")                    \
	X(COUNT_QUARANTINES, "backend_quarantines_total")       \
	X(COUNT_CLAIMS, "idempotency_claims_total")             \
	X(COUNT_JOBS, "jobs_submitted_total")                   \
	X(COUNT_RENEWALS, "lease_renewals_total")               \
	X(COUNT_RENEWALS_FAILED, "lease_renewals_failed_total") \
	X(COUNT_TASKS_NOT_RENEWED, "lease_renewals_withheld_total")

enum entryd_counter {
#define X(id, name) id,
	ENTRYD_COUNTERS(X)
#undef X
		COUNT_END
};

/**
 * struct backend_health - what all threads know of one backend server
 * @in_flight: requests this VM has there now
 * @failures: consecutive failures blamed on the server
 * @losses: consecutive calls without an answer
 * @avoid_until: no new work before this, on this process's clock
 * @is_probing: one request is under way to see whether it has recovered
 * @quarantines: quarantines in a row, for the back-off
 * @boot: run of its process that answered last, 0 before the first answer
 *
 * Lives as long as the process, so that views may come and go.
 */
struct backend_health {
	_Atomic int in_flight;
	_Atomic int failures;
	_Atomic int losses;
	_Atomic int64_t avoid_until;
	_Atomic bool is_probing;
	_Atomic int quarantines;
	_Atomic int64_t boot;
};

/* a backend server of the own failure domain */
struct view_server {
	char *id;
	char *base;
	int share; /* of its slots, for this VM */
	bool takes_work;
	struct backend_health *health;
};

/* another entry VM */
struct view_peer {
	char *id;
	char *failure_domain;
	struct address entry;
	struct address sched;
	int64_t incarnation; /* 0 when not known */
	bool is_live;
};

/**
 * struct view - an immutable picture that workers read through RCU
 */
struct view {
	struct catalogue *catalogue;
	struct view_server *servers;
	unsigned int server_count;
	struct view_peer *peers; /* this VM included */
	unsigned int peer_count;
	bool is_ready;
};

struct entryd;

struct worker {
	struct entryd *entryd;
	unsigned int index;
	pthread_t thread;
	TALLOC_CTX *root; /* of all this thread's memory */
	struct tevent_context *ev;
	struct httpd *httpd;
	struct httpc *http;
	struct platform *platform;
	struct inbox *inbox;
	GHashTable *requests; /* id to struct request, those this worker owns */
	GQueue queues[CLASS_COUNT];
	GQueue running; /* dispatched and not ended */
	unsigned int running_before;
	int64_t sweep_at;	      /* when forgotten requests are looked for */
	_Atomic unsigned int waiting; /* sum of the queues' lengths */
	GHashTable *kinds;	      /* name to struct kind_stats */
	GHashTable *onc_clients;      /* "ip:port" to struct onc_client */
	GHashTable *workspace_use;    /* name to requests in flight here */
	double retry_tokens;
	uint64_t next_sequence;
	unsigned int active; /* requests and calls not answered */
	bool is_draining;
	bool is_stopped;
	_Atomic bool is_idle; /* drained: nothing active */
	char *active_sched;
};

struct entryd {
	const struct settings *settings;
	int64_t incarnation;
	struct counter_set counters;
	struct snapshot view;
	struct worker workers[ENTRYD_WORKERS_MAX];
	unsigned int worker_count;
	_Atomic bool is_draining;
	struct tevent_context *ev;
	struct cluster *cluster;
	struct httpc *http;
	struct httpd *operators;
	struct inbox *inbox;
	GHashTable *health; /* server id to struct backend_health */
	struct renewer *renewer;
	bool is_stopping;
};

/* entryd_view.c */
void view_publish(struct entryd *e);
/** view_note_boot() - a backend server answered in this run of its process */
void view_note_boot(struct entryd *e, const char *server, int64_t boot);
const struct view_peer *view_find_peer(const struct view *v, const char *id);

/* ---- entryd_requests.c: the life of a short request ---- */

enum waiter_type { WAITER_HTTP, WAITER_THREAD, WAITER_PEER };

/**
 * struct waiter - somebody who waits for the end of a request
 * @type: which member of the union is set
 * @http: a caller of this worker; NULL once the caller is gone
 * @handover: a caller of another worker of this process
 * @rpc: another entry VM, answered by the control thread
 * @deadline: answered with the state of that time at the latest
 */
struct waiter {
	enum waiter_type type;
	union {
		struct httpd_request *http;
		struct handover *handover;
		struct onc_request *rpc;
	};
	int64_t deadline;
	struct waiter *next;
};

/**
 * struct request_spec - a checked request; borrowed
 * @id: owned id
 * @workspace: workspace name
 * @kind: kind of work
 * @payload: what the backend server gets
 * @deadline: when the answer is worthless
 * @traceparent: trace context of the caller or NULL
 * @is_kept: keep the outcome for repeated requests
 */
struct request_spec {
	const char *id;
	const char *workspace;
	const struct catalogue_kind *kind;
	const char *payload;
	int64_t deadline;
	const char *traceparent;
	bool is_kept;
};

struct request;

/** requests_find() - the request of that id that this worker owns, or NULL */
struct request *requests_find(struct worker *w, const char *id);
/** requests_start() - queue a new request and try to dispatch it */
struct request *requests_start(struct worker *w, const struct request_spec *spec);
/** requests_wait() - answer @waiter when the request ends, or at once if it has */
void requests_wait(struct worker *w, struct request *r, struct waiter *waiter);
/** requests_attached() - call once after requests_start() and requests_wait() */
void requests_attached(struct request *r);
/** requests_dispatch() - send what the backend servers' shares allow */
void requests_dispatch(struct worker *w);
/** requests_tick() - expire, probe and forget */
void requests_tick(struct worker *w);
/**
 * requests_orphan() - settle a request whose owner is gone, at all backend servers
 * Found there it has its outcome, else it is unknown: a server may have been
 * replaced since. Every server refuses it from then on.
 */
void requests_orphan(struct worker *w, const char *id, struct waiter *waiter);

/* ---- entryd_worker.c ---- */

/**
 * struct outcome_msg - the end of a request, for one waiter
 * @outcome: OUTCOME_NONE while it goes on
 * @reason: why, borrowed, may be empty
 * @answer: JSON text, borrowed, or NULL
 */
struct outcome_msg {
	enum outcome outcome;
	const char *reason;
	const char *answer;
};

/** waiter_answer() - tell the waiter and free it */
void waiter_answer(struct worker *w, struct waiter *waiter, const char *id,
		   const struct outcome_msg *msg);
struct waiter *waiter_new_http(struct worker *w, struct httpd_request *http, int64_t deadline);
/* entryd_worker.c */
int worker_start(struct entryd *e, unsigned int index);
void worker_stop(struct worker *w);
void worker_drain(struct worker *w);
/** worker_forward() - pass a PEER_FORWARD to the worker that owns the id */
void worker_forward(struct entryd *e, struct onc_request *req);
/** worker_client() - this worker's RPC client for an address */
struct onc_client *worker_client(struct worker *w, const struct address *a);
void count(struct worker *w, enum entryd_counter id);
/** reply_fault() - answer bad input with field and reason */
void reply_fault(struct worker *w, struct httpd_request *http, unsigned int status,
		 const char *field, const char *reason);

/* entryd_jobs.c */
void jobs_handle(struct worker *w, struct httpd_request *http);

/* entryd_renew.c */
struct renewer *renewer_new(struct entryd *e);

#endif
