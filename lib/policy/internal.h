/**
 * DOC: policy internals - types and functions that the files of this library share
 *
 * fleet.c counts what servers hold, cells.c binds guarantees, place.c finds a
 * placement and what to stop for it, policy.c keeps the queue and decides.
 */
#ifndef POLICY_INTERNAL_H
#define POLICY_INTERNAL_H

#include "policy.h"

#define NO_RACK (-1)
#define SCAN_MAX 512		      /* queued jobs looked at in one pass */
#define BATCH_OFFSET_MS 600000LL      /* a batch job this old ranks with a new normal one */
#define URGENT_OFFSET_MS 1000000000LL /* urgent jobs come before every other */
#define RUN_PENALTY_MAX_MS 3600000LL  /* short jobs overtake by at most this */
#define SIZE_BONUS_MAX_MS 1800000LL   /* large jobs overtake by at most this */
#define SIZE_BONUS_MS 10000LL	      /* per accelerator */
#define LEARN_SHARE 0.2		      /* weight of the newest observation */
#define RATIO_MIN 0.05
#define RATIO_MAX 20.0
#define INDEXES 2
#define PATIENCE_STEPS 20	  /* weight 0 waits six times as long as weight 100 */
#define KEPT_RACK_PENALTY 1000000 /* a kept rack is chosen last */

/* what the units of a rack are counted over */
enum unit_index { UNITS_FREE, UNITS_OPEN };

/* a workspace's accelerators on one server */
struct holding {
	unsigned int ws;
	int64_t reserved;
	int64_t firm;
	int64_t soft;
};

struct server {
	char *id;
	int rack;
	int64_t cap;
	bool usable;
	bool expected; /* in the fleet, though perhaps away now */
	int64_t used;
	struct holding *holdings;
	unsigned int holding_count;
	GPtrArray *jobs; /* placed here, one entry a job */
	int64_t indexed[INDEXES];
};

struct rack {
	char *id;
	GArray *servers; /* of int */
	int64_t busy_until;
	int64_t used;
};

struct cell {
	unsigned int ws;
	int64_t accelerators;
	bool in_server;
	bool bound;
	bool wanted;
	int64_t *part; /* per entry of servers */
	int *servers;
	unsigned int server_count;
};

struct workspace {
	char *name;
	int64_t quota;
	int64_t precedence;
	int64_t used;
	int64_t reserved;     /* accelerators of its bound cells */
	GArray *cell_servers; /* of int: servers where it has a reservation */
};

struct kind {
	char *name;
	int64_t used;
	double ratio; /* mean of actual to declared run time */
	double spread;
};

struct policy_job {
	struct policy_spec spec;
	unsigned int ws;
	struct kind *kind;
	enum policy_job_state state;
	enum policy_wait wait;
	int64_t queued_at;
	int64_t rank;
	int64_t expected_end;
	struct policy_place *places;
	int *place_servers;
	unsigned int place_count;
	GSequenceIter *queue_pos;
	bool is_new;
	bool is_backfill; /* started in racks kept for another job, which may stop it */
	int stage;	  /* enum stage of its placement */
	void *user;
};

struct policy {
	struct policy_options opt;
	GPtrArray *servers;
	GHashTable *server_ids;
	GPtrArray *racks;
	GHashTable *rack_ids;
	GPtrArray *workspaces;
	GPtrArray *cells;
	GHashTable *kinds;
	GSequence *queue;
	GPtrArray *reclaiming;
	GArray *units[INDEXES][POLICY_ACCELERATORS_MAX + 1]; /* of int64_t, per rack */
	GArray *extra;					     /* of int64_t, per rack: scratch */
	GArray *reserved_rack;				     /* of char, per rack */
	struct policy_job *reservation;
	int64_t reservation_start;
	GQueue decisions;
	int64_t total;	  /* accelerators of usable servers */
	int64_t expected; /* ... and of those that are away for now */
	int64_t placed;
	int64_t now;
	int64_t costly_used; /* by work that urgent jobs cannot or should not stop */
	bool capacity_changed;
	bool has_new;
	bool bind_pending;
};

/* how far a placement may go */
enum stage {
	STAGE_FREE,	/* what nobody uses */
	STAGE_RESERVED, /* also what backfilled jobs use in the racks kept for this job */
	STAGE_RECLAIM,	/* also what others borrowed of the workspace's own cells */
	STAGE_URGENT,	/* also what less urgent work uses outside guarantees */
	STAGE_COUNT
};

/* a placement being worked out */
struct search {
	struct policy *p;
	struct policy_job *job;
	enum stage stage;
	GArray *servers; /* of int */
	GArray *tasks;	 /* of int64_t */
};

static inline struct server *server_at(const struct policy *p, int i)
{
	return g_ptr_array_index(p->servers, (guint)i);
}

static inline struct rack *rack_at(const struct policy *p, int i)
{
	return g_ptr_array_index(p->racks, (guint)i);
}

static inline struct workspace *workspace_at(const struct policy *p, unsigned int i)
{
	return g_ptr_array_index(p->workspaces, i);
}

static inline int64_t *units_at(const struct policy *p, enum unit_index index, int64_t a, int rack)
{
	return &g_array_index(p->units[index][a], int64_t, rack);
}

/* fleet.c */
struct holding *pol_holding_find(const struct server *s, unsigned int ws);
struct holding *pol_holding_get(struct policy *p, struct server *s, unsigned int ws);
int64_t pol_server_free(const struct server *s);
int64_t pol_server_open(const struct server *s);
int64_t pol_server_unreserved(const struct server *s);
void pol_server_reindex(struct policy *p, struct server *s);
bool pol_may_displace(const struct policy *p, const struct policy_job *job,
		      const struct policy_job *other, const struct server *s);
int64_t pol_server_available(const struct search *q, const struct server *s);
enum unit_index pol_job_index(const struct policy_job *job);
int pol_server_find(const struct policy *p, const char *id);
struct kind *pol_kind_get(struct policy *p, const char *name);
int64_t pol_estimate(const struct kind *kind, int64_t declared_ms, double spreads);
bool pol_is_costly(const struct policy_spec *spec);
void pol_hold(struct policy *p, struct policy_job *job, int index, int64_t tasks, int sign);
void pol_job_release(struct policy *p, struct policy_job *job);
void pol_job_hold(struct policy *p, struct policy_job *job, const int *servers,
		  const int64_t *tasks, unsigned int count, int64_t now);

/* cells.c */
unsigned int pol_workspace_get(struct policy *p, const char *name);
void pol_cell_unbind(struct policy *p, struct cell *cell);
void pol_bind_cells(struct policy *p);
void pol_make_room(struct policy *p, int index);

/* place.c */
bool pol_ends_in_time(const struct policy *p, const struct policy_job *job, int64_t now);
int pol_compare_rack_units(gconstpointer a, gconstpointer b);
bool pol_search_run(struct search *q, int64_t now);
void pol_push_decision(struct policy *p, enum policy_decision_type type, struct policy_job *job);
void pol_stop_victims(struct policy *p, struct policy_job *job, int index, enum stage stage);
bool pol_is_stuck(const struct policy *p, const struct policy_job *job);
bool pol_is_ready(const struct policy *p, const struct policy_job *job);

/* policy.c */
void pol_enqueue(struct policy *p, struct policy_job *job);
bool pol_drop_decisions(struct policy *p, const struct policy_job *job);

#endif
