/*
 * Messages between the processes of currantlane (ONC RPC, RFC 5531).
 *
 * Members *_ms are in milliseconds. remaining_ms is the time until a deadline:
 * of the call, and in cl_note of the note's validity.
 */

const CL_ID_MAX = 160;
const CL_TEXT_MAX = 65536;
const CL_BLOB_MAX = 4194304;
const CL_NOTES_MAX = 4096;
const CL_QUEUES_MAX = 262144;

/* the state of one backend server, spread by gossip, which is faster than the VM list */
struct cl_note {
	string server<CL_ID_MAX>;
	int state;
	hyper remaining_ms;
};

/* argument and result of PEER_GOSSIP: the sender's own state and its notes on backend servers */
struct cl_gossip {
	string vm<CL_ID_MAX>;
	string failure_domain<CL_ID_MAX>;
	hyper incarnation;
	bool draining;
	hyper catalogue_version;
	hyper vm_list_version;
	cl_note notes<CL_NOTES_MAX>;
};

/*
 * The caller sends the versions that it has; the result holds what is newer:
 * deltas of the catalogue and the VM list, both as JSON.
 */
struct cl_pull_args {
	hyper catalogue_version;
	hyper vm_list_version;
};

struct cl_pull_res {
	hyper catalogue_version;
	string catalogue<CL_BLOB_MAX>;
	hyper vm_list_version;
	string vm_list<CL_BLOB_MAX>;
};

/* a short request, forwarded to the entry VM that owns its id */
struct cl_forward_args {
	string id<CL_ID_MAX>;
	string workspace<CL_ID_MAX>;
	string kind<CL_ID_MAX>;
	hyper remaining_ms;
	string traceparent<CL_ID_MAX>;
	string body<CL_TEXT_MAX>;
};

struct cl_outcome_res {
	bool known;
	int outcome;
	string reason<CL_ID_MAX>;
	string body<CL_TEXT_MAX>;
};

/* a job for the scheduler of a failure domain; spec is the caller's JSON after validation */
struct cl_job_args {
	string id<CL_ID_MAX>;
	string spec<CL_TEXT_MAX>;
	string traceparent<CL_ID_MAX>;
	hyper remaining_ms;
};

enum cl_sched_status {
	CL_SCHED_OK = 0,
	CL_SCHED_NOT_ACTIVE = 1,
	CL_SCHED_NOT_FOUND = 2,
	CL_SCHED_REFUSED = 3,
	CL_SCHED_UNSURE = 4
};

struct cl_job_res {
	cl_sched_status status;
	string state<CL_TEXT_MAX>;
};

program CL_PEER {
	version CL_PEER_V1 {
		cl_gossip PEER_GOSSIP(cl_gossip) = 1;
		cl_pull_res PEER_PULL(cl_pull_args) = 2;
		cl_outcome_res PEER_FORWARD(cl_forward_args) = 3;
	} = 1;
} = 0x20004c01;

program CL_SCHED {
	version CL_SCHED_V1 {
		cl_job_res SCHED_SUBMIT(cl_job_args) = 1;
		cl_job_res SCHED_STATE(cl_job_args) = 2;
		cl_job_res SCHED_CANCEL(cl_job_args) = 3;
	} = 1;
} = 0x20004c02;

/*
 * Calls among the entry VMs of one site: leadership, state that only the leader
 * has, and calls that one VM makes on behalf of another.
 */

/* the store's row that names the leader; a higher row_version is newer */
struct cl_leader {
	string vm<CL_ID_MAX>;
	string ip<CL_ID_MAX>;
	int port;
	hyper term;
	hyper row_version;
};

struct cl_vm {
	string vm<CL_ID_MAX>;
	string failure_domain<CL_ID_MAX>;
	string ip<CL_ID_MAX>;
	int port;
	bool is_large;
};

/* the entry with an empty name holds the age of the counts in ms, -1 when they are not known */
struct cl_queue_pending {
	string queue<CL_ID_MAX>;
	hyper pending;
};

struct cl_lead_ping_args {
	cl_vm sender;
	cl_leader leader;
	hyper store_failing_ms;
	bool wants_vms;
};

struct cl_lead_ping_res {
	bool is_leading;
	bool is_contending;
	cl_leader leader;
	hyper store_failing_ms;
	hyper config_version;
	cl_queue_pending pending<CL_NOTES_MAX>;
	cl_vm vms<CL_NOTES_MAX>;
};

struct cl_lead_state_args {
	string id<CL_ID_MAX>;
};

struct cl_lead_state_res {
	bool is_leading;
	bool known;
	string state<CL_ID_MAX>;
	string workspace<CL_ID_MAX>;
};

/* a caller's request that the receiver executes over its own connection to the store */
struct cl_relay_args {
	int kind;
	string id<CL_ID_MAX>;
	string workspace<CL_ID_MAX>;
	string row<CL_TEXT_MAX>;
	hyper remaining_ms;
};

struct cl_relay_res {
	int status;
	string state<CL_ID_MAX>;
	string reason<CL_ID_MAX>;
};

/* a job's row that the sender has stored; the leader would read it later from the store */
struct cl_stored_args {
	string id<CL_ID_MAX>;
	string row<CL_TEXT_MAX>;
	/* unused: who has written a row does not know its version. VMs of earlier versions send one. */
	hyper row_version;
};

struct cl_ack {
	bool done;
};

typedef string cl_text<CL_TEXT_MAX>;

struct cl_queue {
	string name<CL_TEXT_MAX>;
	string host<CL_TEXT_MAX>;
	string prefix<CL_TEXT_MAX>;
	string service<CL_TEXT_MAX>;
	hyper priority;
	hyper attempts;
	double stretch;
	hyper slo_ms;
	bool is_public;
	bool has_advisor;
};

struct cl_workspace {
	string name<CL_TEXT_MAX>;
	cl_text keys<CL_NOTES_MAX>;
	hyper guaranteed_accelerators;
};

/* queues of the new version: copies of the old version's from an index on, then added ones */
struct cl_queue_run {
	unsigned int first;
	unsigned int count;
	cl_queue added<CL_QUEUES_MAX>;
};

/* turns one version of the configuration into a newer one; version 0 is empty */
struct cl_config_change {
	hyper before;
	hyper after;
	hyper body_max;
	cl_queue_run runs<CL_QUEUES_MAX>;
	bool has_workspaces; /* else they are those of the old version */
	cl_workspace workspaces<CL_NOTES_MAX>;
};

struct cl_config_args {
	hyper config_version;
	hyper wait_ms; /* how long the receiver waits for a newer version before it answers */
};

/* a cl_config_change, encoded */
typedef opaque cl_config_step<CL_BLOB_MAX>;

/* changes from the version of the call on, in order; none when the sender has no newer one */
struct cl_config_res {
	hyper config_version;
	hyper row_version; /* of the store's row that holds this version */
	cl_config_step steps<CL_NOTES_MAX>;
};

/*
 * Orders to a backend server, which another entry VM executes for the leader.
 * Members lease_until, renewal_limit and renewed_until are times in ms on the
 * backend server's own clock. Member fence is at least the leader's term, and below
 * that of the next leader, unless that is of a version whose terms rise by one.
 */
struct cl_order_target {
	string server<CL_ID_MAX>;
	string address<CL_ID_MAX>;
	hyper fence;
	hyper remaining_ms;
	bool fresh;
};

struct cl_start_args {
	cl_order_target to;
	string task<CL_ID_MAX>;
	unsigned int attempt;
	/* payload of the task's job; empty when an earlier start of the job has delivered it */
	string payload<CL_TEXT_MAX>;
	string snapshot<CL_TEXT_MAX>;
	hyper lease_until;
};

/* a start on a server of a failure domain that the receiver may know to be evacuated */
struct cl_start_in_args {
	cl_start_args start;
	string failure_domain<CL_ID_MAX>;
};

struct cl_stop_args {
	cl_order_target to;
	string task<CL_ID_MAX>;
	unsigned int attempt;
};

struct cl_look_args {
	cl_order_target to;
	hyper acknowledged;
	hyper lease_until;
	hyper wait_ms;
	/*
	 * latest lease that the receiver may request on its own while it gets no call
	 * from the leader; 0 for none
	 */
	hyper renewal_limit;
};

struct cl_run {
	string task<CL_ID_MAX>;
	unsigned int attempt;
	string snapshot<CL_TEXT_MAX>;
	int percent;
};

struct cl_ended {
	hyper number;
	string task<CL_ID_MAX>;
	unsigned int attempt;
	int how;
	string snapshot<CL_TEXT_MAX>;
};

struct cl_order_res {
	int status;
	hyper clock_ms; /* the backend server's clock */
	hyper born; /* start of the backend server's incarnation; 0 when not reported */
	cl_run runs<CL_NOTES_MAX>;
	cl_ended ended<CL_NOTES_MAX>;
	/* result of LEAD_LOOK: the sender continues to renew the leases without calls of the leader */
	bool renews;
	/* the latest lease that the sender has requested on its own; 0 for none */
	hyper renewed_until;
};

program CL_LEAD {
	version CL_LEAD_V1 {
		cl_lead_ping_res LEAD_PING(cl_lead_ping_args) = 1;
		cl_lead_state_res LEAD_STATE(cl_lead_state_args) = 2;
		cl_relay_res LEAD_RELAY(cl_relay_args) = 3;
		cl_ack LEAD_STORED(cl_stored_args) = 4;
		cl_ack LEAD_VACANT(cl_leader) = 5;
		cl_order_res LEAD_START(cl_start_args) = 7;
		cl_order_res LEAD_STOP(cl_stop_args) = 8;
		cl_order_res LEAD_LOOK(cl_look_args) = 9;
		/* 6 gave the whole document of the configuration */
		cl_config_res LEAD_CONFIG(cl_config_args) = 10;
		/* in the place of LEAD_START where the deployment evacuates failure domains */
		cl_order_res LEAD_START_IN(cl_start_in_args) = 11;
	} = 1;
} = 0x20004c03;
