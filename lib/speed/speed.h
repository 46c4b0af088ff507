/**
 * DOC: speed - speeds of backend servers and real run times, learned from the runs they list
 *
 * Load pattern: one backend server in four runs every task at half the speed of the others, and
 * nothing in the server list tells which. Declared run times are wrong by up to 0.9 of their
 * value, by the same factor for all tasks of a job; run times of the tasks of one step differ by
 * 30 %; 3 % of the tasks take 7 times as long; a gang runs at the pace of its slowest member.
 *
 * A sample is the run time of one attempt, of a gang as a whole, divided by the declared run
 * time. It is known from the progress of a running task and replaced by the whole run time at the
 * end. speed_update() fits two speeds to all samples: that of most servers, which is 1.0, and
 * another. For each server it computes the probability of each speed.
 *
 * No server is classified until the tasks of each server agree with each other, compared with
 * their jobs, by a margin that chance and short disturbances do not reach. So where all servers
 * have one speed, @speed of struct fleet_server and @run_ratio of struct work_job stay 1.0.
 *
 * The module does no I/O and reads no clock; times are monotonic, in ms. Its memory is bounded.
 */
#ifndef SPEED_H
#define SPEED_H

#include "work/work.h"

#define SPEED_SAMPLES_MAX 4096	/* kept; evidence of older ones is summed up for each server */
#define SPEED_QUEUES_MAX 256	/* tasks of further queues give no sample */
#define SPEED_SERVERS_MAX 16384 /* further servers give no sample */
#define SPEED_MEMBERS_MAX 32	/* servers of a gang; a larger gang gives no sample */
#define SPEED_UPDATE_MS 500	/* between two fits at least */
#define SPEED_MAX_AGE_MS 60000	/* of a sample; older evidence decays */

/**
 * struct speed_sample - one finished run on one server, compared with what was expected there
 * @queue: queue of the job; valid during the callback
 * @image: what the task runs, or NULL when its step does not name it; valid during the callback
 * @ratio: observed pace divided by the pace expected on that server; below 1 for a slow run
 * @at: when its end was listed, monotonic ms
 */
struct speed_sample {
	const struct fleet_server *server;
	const char *queue;
	const char *image;
	double ratio;
	int64_t at;
};

/**
 * struct speed_change - the speed class of a server has changed
 * @chance: estimated probability that the server is of the slower class
 * @last_at: when the latest sample of any server was taken, monotonic ms
 */
struct speed_change {
	const struct fleet_server *server;
	enum fleet_speed_class former;
	double chance;
	int64_t last_at;
};

/**
 * struct speed_watch - functions that are told of samples and changes; each may be NULL
 * @on_sample: a task that is no gang member, or a gang on one server, has ended
 */
struct speed_watch {
	void (*on_sample)(const struct speed_sample *sample, void *data);
	void (*on_change)(const struct speed_change *change, void *data);
	void *data;
};

struct speed;

/** speed_new() - nothing is known of the servers of @fleet, which must outlive it */
struct speed *speed_new(TALLOC_CTX *ctx, const struct fleet *fleet,
			const struct speed_watch *watch);
/**
 * speed_note_progress() - a server has just listed the running task @t
 *
 * Called after @percent, @progress_at and @first_percent of the task were updated.
 */
void speed_note_progress(struct speed *s, struct work_task *t, int64_t now);
/**
 * speed_note_end() - a server has just listed that @t is done
 * @late_ms: upper bound of the time between the end and @now, in ms
 *
 * Called while the task, and for a gang each member, still has its server.
 */
void speed_note_end(struct speed *s, struct work_task *t, int64_t now, int64_t late_ms);
/**
 * speed_update() - fit the speeds to the samples and set those of the servers
 *
 * Does nothing unless there are new samples and SPEED_UPDATE_MS have passed.
 * Return: true when the speed of a server has changed.
 */
bool speed_update(struct speed *s, int64_t now);
/** speed_is_known() - the servers have different speeds, so that estimates are used */
bool speed_is_known(const struct speed *s);
/**
 * speed_job_ratio() - real run time of the job's tasks on a typical server over the declared one
 *
 * From other tasks of the job, else from the queue. Return: 1.0 while speeds are not known.
 */
double speed_job_ratio(const struct speed *s, const struct work_job *job);
/**
 * speed_expected_ms() - expected run time of a task of the group on @sv, in ms
 * @sv: a server, or NULL for a typical one
 */
int64_t speed_expected_ms(const struct work_group *group, const struct fleet_server *sv);
/** speed_expected_path_ms() - critical path from the group on, on typical servers, in ms */
int64_t speed_expected_path_ms(const struct work_group *group);

/* ---- for the next leader ---- */

#define SPEED_ROW_SERVERS_MAX 1000 /* named in a row; a row holds 64 KiB */

/**
 * speed_encode() - what the next leader needs, owned by @ctx
 *
 * Return: {"gap": G, "most_are_slow": B, "servers": {ID: BORN}, "queues": {NAME: OFFSET}} with the
 * servers that differ from the typical ones, or NULL while speeds are not known.
 */
char *speed_encode(TALLOC_CTX *ctx, const struct speed *s);
/**
 * speed_decode() - apply what an earlier leader knew; text that can't be read changes nothing
 *
 * It counts as evidence that decays; own samples outweigh it.
 */
void speed_decode(struct speed *s, struct str text);

#endif
