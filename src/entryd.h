/**
 * DOC: entryd - declarations shared by the files of currantlane-entryd
 *
 * The main thread ("control thread") owns the cluster state, the peers' port,
 * the operators' port and the renewal of leases. Every worker thread serves
 * callers with its own event loop. It reads the view through RCU; other
 * threads reach it only by messages to its inbox. Times and deadlines are
 * those of base_now_ns(), in ns, unless a name says otherwise.
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
#define ID_MAX 128 /* bytes of a request or job id, with the terminating NUL */

#define ENTRYD_COUNTERS(X)                                             \
	X(COUNT_REQUESTS, "requests_total")                            \
	X(COUNT_DONE, "requests_done_total")                           \
	X(COUNT_FAILED, "requests_failed_total")                       \
	X(COUNT_NOT_RUN, "requests_not_run_total")                     \
	X(COUNT_UNKNOWN, "requests_unknown_total")                     \
	X(COUNT_BAD_INPUT, "requests_bad_input_total")                 \
	X(COUNT_NO_ROOM, "bodies_no_room_total")                       \
	X(COUNT_CLOSED, "connections_closed_total")                    \
	X(COUNT_RETRIES, "retries_total")                              \
	X(COUNT_RETRIES_OVER_BUDGET, "retries_over_budget_total")      \
	X(COUNT_SETTLED_BY_STATUS, "requests_settled_by_status_total") \
	X(COUNT_FORWARDED, "requests_handed_to_owner_total")           \
	X(COUNT_EXPIRED, "requests_expired_in_queue_total")            \
	X(COUNT_SHED, "requests_shed_total")                           \
	X(COUNT_QUARANTINES, "backend_quarantines_total")              \
	X(COUNT_KEY_CLAIMS, "idempotency_claims_total")                \
	X(COUNT_JOBS, "jobs_submitted_total")                          \
	X(COUNT_RENEWALS, "lease_renewals_total")                      \
	X(COUNT_RENEWALS_FAILED, "lease_renewals_failed_total")        \
	X(COUNT_RENEWALS_WITHHELD, "lease_renewals_withheld_total")

enum entryd_counter {
#define X(id, name) id,
	ENTRYD_COUNTERS(X)
#undef X
		COUNT_END
};

/**
 * struct backend_health - state of one backend server, shared by all threads
 * @in_flight: requests of this VM that occupy a slot there
 * @failures: consecutive failed requests attributed to the server
 * @lost_calls: consecutive calls without an answer
 * @avoid_until: no new request before this time; 0 when the server is not avoided
 * @is_probing: one request is in flight to test whether the server has recovered
 * @quarantines: consecutive quarantines, for the exponential back-off
 * @boot: identifies the run of its process that answered last; 0 before the first answer
 *
 * Never freed, because successive views refer to the same structure.
 */
struct backend_health {
	_Atomic int in_flight;
	_Atomic int failures;
	_Atomic int lost_calls;
	_Atomic int64_t avoid_until;
	_Atomic bool is_probing;
	_Atomic int quarantines;
	_Atomic int64_t boot;
};

/**
 * struct view_server - a backend server of the own failure domain
 * @id: VM id
 * @base_url: "http://ip:port"
 * @slot_limit: slots there that this VM may use, its share among the live entry VMs
 * @takes_work: listed as live, and no note says that it is leaving or lost
 * @health: shared by all views
 */
struct view_server {
	char *id;
	char *base_url;
	int slot_limit;
	bool takes_work;
	struct backend_health *health;
};

/**
 * struct view_peer - an entry VM, this one included
 * @id: VM id
 * @failure_domain: its failure domain
 * @entry: peers' address of its entryd
 * @sched: peers' address of its schedd
 * @incarnation: start time of its entryd in us since the epoch; 0 when unknown
 * @is_live: it sent gossip recently and is not draining
 */
struct view_peer {
	char *id;
	char *failure_domain;
	struct address entry;
	struct address sched;
	int64_t incarnation;
	bool is_live;
};

/**
 * struct view - immutable snapshot of the cluster state, read by workers through RCU
 * @catalogue: the current catalogue
 * @servers: backend servers of the own failure domain
 * @server_count: length of @servers
 * @peers: all entry VMs, this one included
 * @peer_count: length of @peers
 * @is_ready: this VM may serve callers, see cluster_is_ready()
 */
struct view {
	struct catalogue *catalogue;
	struct view_server *servers;
	unsigned int server_count;
	struct view_peer *peers;
	unsigned int peer_count;
	bool is_ready;
};

struct entryd;

/**
 * struct worker - a thread that serves callers
 * @entryd: the process
 * @index: position in entryd.workers; part of the ids that it issues
 * @thread: its thread
 * @mem_ctx: parent of all memory of this thread
 * @ev: its event loop
 * @httpd: server for callers
 * @http: client for calls to backend servers and the platform
 * @platform: client of the platform
 * @inbox: messages from other threads
 * @requests: id to struct request; those that this worker owns
 * @queues: requests that wait for a slot, per class
 * @running: requests dispatched and not ended
 * @prev_running: length of @running after the previous round of the event loop
 * @next_sweep_at: when ended requests past their retention are next removed
 * @queued_count: sum of the lengths of @queues; read by other workers
 * @kind_stats: name of a kind to struct kind_stats
 * @onc_clients: "ip:port" to struct onc_client
 * @workspace_in_flight: name of a workspace to its requests that have not ended here
 * @retry_tokens: what is left of the retry budget; one token per retry
 * @prev_closed: connections closed before their requests were complete, when last counted
 * @last_sequence: sequence number of the last id issued
 * @active: requests and calls that have not been answered
 * @is_draining: a planned stop is under way
 * @is_stopped: the event loop ends
 * @is_idle: set while draining when nothing is active; cleared by the control thread
 * @last_active_sched: "ip:port" of the scheduler that answered last as active, or NULL
 */
struct worker {
	struct entryd *entryd;
	unsigned int index;
	pthread_t thread;
	TALLOC_CTX *mem_ctx;
	struct tevent_context *ev;
	struct httpd *httpd;
	struct httpc *http;
	struct platform *platform;
	struct inbox *inbox;
	GHashTable *requests;
	GQueue queues[CLASS_COUNT];
	GQueue running;
	unsigned int prev_running;
	int64_t next_sweep_at;
	_Atomic unsigned int queued_count;
	GHashTable *kind_stats;
	GHashTable *onc_clients;
	GHashTable *workspace_in_flight;
	double retry_tokens;
	uint64_t prev_closed;
	uint64_t last_sequence;
	unsigned int active;
	bool is_draining;
	bool is_stopped;
	_Atomic bool is_idle;
	char *last_active_sched;
};

/**
 * struct entryd - state of the process
 * @settings: read at the start
 * @incarnation: start time in us since the epoch; part of the ids issued
 * @counters: slot 0 is the control thread's, the others the workers'
 * @view: struct view, replaced by the control thread only
 * @workers: the worker threads
 * @worker_count: how many of @workers are in use
 * @is_draining: a planned stop is under way
 * @ev: event loop of the control thread
 * @cluster: state of the cluster, replicated by the control thread
 * @http: HTTP client of the control thread
 * @operators_httpd: server for operators
 * @inbox: messages to the control thread
 * @health: server id to struct backend_health
 * @renewer: renews leases of running tasks
 * @is_stopping: all workers are drained; the main loop ends
 */
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
	struct httpd *operators_httpd;
	struct inbox *inbox;
	GHashTable *health;
	struct renewer *renewer;
	bool is_stopping;
};

/* ---- entryd_view.c ---- */

/** view_publish() - build a view of the current cluster state for the workers */
void view_publish(struct entryd *e);
/**
 * view_record_boot() - record which run of its process a backend server answered from
 * @boot: identifies the run; 0 when the server did not report it, and then ignored
 */
void view_record_boot(struct entryd *e, const char *server, int64_t boot);
/** view_find_peer() - the entry VM of that id, or NULL */
const struct view_peer *view_find_peer(const struct view *v, const char *id);

/* ---- entryd_requests.c: short requests at their owner ---- */

enum waiter_type { WAITER_HTTP, WAITER_THREAD, WAITER_PEER };

/**
 * struct waiter - a recipient of the outcome of a request
 * @type: where the recipient is
 * @http: for WAITER_HTTP: a caller of this worker; NULL once it disconnected
 * @thread_forward: for WAITER_THREAD: message back to the worker that has the caller; for
 *                  WAITER_PEER: message to the control thread, which replies to another entry VM
 * @rpc: not used
 * @deadline: when the current state is sent, if the request has not ended by then
 * @next: next waiter of the same request
 */
struct waiter {
	enum waiter_type type;
	union {
		struct httpd_request *http;
		struct thread_forward *thread_forward;
		struct onc_request *rpc;
	};
	int64_t deadline;
	struct waiter *next;
};

/**
 * struct request_spec - a validated request; borrowed
 * @id: an id that this worker owns
 * @workspace: workspace name
 * @kind: kind of work
 * @payload: JSON text for the backend server
 * @deadline: when the caller no longer needs the answer
 * @traceparent: trace context of the caller or NULL
 * @retains_outcome: keep the outcome after the end, for repeated requests with this id
 */
struct request_spec {
	const char *id;
	const char *workspace;
	const struct catalogue_kind *kind;
	const char *payload;
	int64_t deadline;
	const char *traceparent;
	bool retains_outcome;
};

struct request;

/** requests_find() - the request with that id if this worker owns it, or NULL */
struct request *requests_find(struct worker *w, const char *id);
/** requests_start() - queue a new request and try to dispatch it; the result is referenced */
struct request *requests_start(struct worker *w, const struct request_spec *spec);
/** requests_wait() - answer @waiter when the request ends, or at once if it has ended */
void requests_wait(struct worker *w, struct request *r, struct waiter *waiter);
/** requests_release() - drop the reference from requests_start(), after requests_wait() */
void requests_release(struct request *r);
/** requests_dispatch() - send queued requests while the backend servers' slot limits allow */
void requests_dispatch(struct worker *w);
/** requests_tick() - expire queued requests, query overdue ones, remove old outcomes, dispatch */
void requests_tick(struct worker *w);
/**
 * requests_settle_orphan() - determine the outcome of a request whose owner is gone
 *
 * Queries all backend servers of the failure domain. If none knows the
 * outcome, it is unknown, because a server may have been replaced since. Each
 * server that does not know the request rejects it from then on.
 */
void requests_settle_orphan(struct worker *w, const char *id, struct waiter *waiter);

/* ---- entryd_worker.c ---- */

/**
 * struct outcome_msg - the end of a request, for one waiter
 * @outcome: OUTCOME_NONE while it has not ended
 * @reason: explanation for the caller, a constant on paths between threads; may be empty
 * @answer: JSON text of the backend server's answer, borrowed, or NULL
 */
struct outcome_msg {
	enum outcome outcome;
	const char *reason;
	const char *answer;
};

/** waiter_answer() - send the outcome to the waiter and free it */
void waiter_answer(struct worker *w, struct waiter *waiter, const char *id,
		   const struct outcome_msg *msg);
/** waiter_new_http() - a waiter for a caller of this worker */
struct waiter *waiter_new_http(struct worker *w, struct httpd_request *http, int64_t deadline);
/** worker_start() - listen and start the thread; 0, or non-zero on failure */
int worker_start(struct entryd *e, unsigned int index);
/** worker_stop() - end the thread and join it */
void worker_stop(struct worker *w);
/** worker_drain() - close the listening socket and report in @is_idle when nothing is active */
void worker_drain(struct worker *w);
/** worker_accept_forward() - pass a PEER_FORWARD to the worker that owns the id */
void worker_accept_forward(struct entryd *e, struct onc_request *req);
/** worker_client() - this worker's RPC client for an address */
struct onc_client *worker_client(struct worker *w, const struct address *a);
/** count() - add 1 to this worker's counter */
void count(struct worker *w, enum entryd_counter id);
/** reply_error() - reject a call with the field at fault and the reason; counted as bad input */
void reply_error(struct worker *w, struct httpd_request *http, unsigned int status,
		 const char *field, const char *reason);

/* ---- entryd_jobs.c ---- */

/** jobs_handle() - serve a call to /v1/jobs */
void jobs_handle(struct worker *w, struct httpd_request *http);

/* ---- entryd_renew.c ---- */

/** renewer_new() - start to renew leases on the control thread */
struct renewer *renewer_new(struct entryd *e);

#endif
