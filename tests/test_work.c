/**
 * DOC: test_work - jobs, tasks, the capacity they hold, and their stored rows
 */
#include <check.h>
#include <string.h>

#include "runner.h"
#include "sample.h"

START_TEST(critical_path_is_the_longest_chain_of_steps)
{
	struct work_job *job = work_job_new(NULL, str_from("00000000000000aa"), 3);

	for (unsigned int i = 0; i < 3; i++) {
		job->step[i].count = 1;
		job->step[i].estimate_ms = 1000 * (i + 1);
	}
	job->step[2].after_count = 1;
	job->step[2].after = talloc_zero_array(job, unsigned int, 1);
	job->stretch = 3;
	job->slo_ms = 50;
	ck_assert_ptr_null(work_job_finalize(job));
	ck_assert_int_eq(job->step[0].critical_path_ms, 4000);
	ck_assert_int_eq(job->step[1].critical_path_ms, 2000);
	ck_assert_int_eq(work_objective_ms(job), 12050);
	talloc_free(job);
}
END_TEST

START_TEST(a_step_that_depends_on_itself_is_rejected)
{
	struct work_job *job = sample_job(NULL, 1, 1, 2, 1);

	job->step[0].after_count = 1;
	job->step[0].after = talloc_zero_array(job, unsigned int, 1);
	ck_assert_ptr_nonnull(work_job_finalize(job));
	talloc_free(job);
}
END_TEST

START_TEST(occurrences_start_when_due)
{
	struct work_job *job = sample_job(NULL, 1, 1, 1, 1);

	job->times = 3;
	job->first_ms = 5000;
	job->every_ms = 2000;
	ck_assert_ptr_null(work_job_finalize(job));
	ck_assert(!work_job_start_due(job, 4999));
	ck_assert(work_job_start_due(job, 7000));
	ck_assert_uint_eq(job->occurrences, 2);
	ck_assert_int_eq(work_job_next_due(job), 9000);
	work_task_finish(&work_job_group(job, 0, 0)->task[0]);
	work_task_finish(&work_job_group(job, 1, 0)->task[0]);
	ck_assert(!work_job_all_tasks_done(job));
	work_job_start_due(job, 9000);
	work_task_finish(&work_job_group(job, 2, 0)->task[0]);
	ck_assert(work_job_all_tasks_done(job));
	talloc_free(job);
}
END_TEST

START_TEST(capacity_is_held_until_the_task_is_released)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct fleet_server *sv = sample_server(f, 0);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 3));

	work_task_await_preemption(&g->task[0], sv);
	ck_assert_int_eq(fleet_free_capacity(sv).accelerators, 5);
	ck_assert_int_eq(fleet_unused_capacity(sv).accelerators, 8);
	work_task_assign(&g->task[0], sv);
	ck_assert_int_eq(fleet_unused_capacity(sv).accelerators, 5);
	g->task[0].state = TASK_STOPPING;
	ck_assert_int_eq(fleet_free_capacity(sv).accelerators, 5);
	work_task_release(&g->task[0]);
	ck_assert_int_eq(fleet_free_capacity(sv).accelerators, 8);
	talloc_free(f);
}
END_TEST

/*
 * Found in Torenuurwerk trouble-1: starts exceeded the capacity while a gang's last
 * members were ending.
 */
START_TEST(an_ending_member_of_a_gang_holds_capacity_until_it_is_finished)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct work_group *g = sample_gang(f, 1, 0, 2, 4);

	sample_run(&g->task[0], sample_server(f, 0), 10);
	sample_run(&g->task[1], sample_server(f, 1), 10);
	work_task_finish(&g->task[0]);
	work_task_set_ending(&g->task[1]);
	ck_assert_uint_eq(g->done, 2);
	ck_assert(work_job_all_tasks_done(g->job));
	ck_assert_int_eq(fleet_free_capacity(sample_server(f, 0)).accelerators, 8);
	ck_assert_int_eq(fleet_free_capacity(sample_server(f, 1)).accelerators, 4);
	work_task_finish(&g->task[1]);
	ck_assert_uint_eq(g->done, 2);
	ck_assert_int_eq(fleet_free_capacity(sample_server(f, 1)).accelerators, 8);
	talloc_free(f);
}
END_TEST

/*
 * Found with deploy/days/servers-cut.toml, seed 2 on Kolkhi: the leader terminated when
 * it placed a gang of which only some members awaited preemption.
 */
START_TEST(a_gang_that_partly_awaits_preemption_is_detected)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct work_group *g = sample_gang(f, 1, 0, 2, 4);

	ck_assert(!work_group_partly_awaits_preemption(g));
	work_task_await_preemption(&g->task[0], sample_server(f, 0));
	work_task_await_preemption(&g->task[1], sample_server(f, 1));
	ck_assert(!work_group_partly_awaits_preemption(g));
	work_task_release(&g->task[1]);
	ck_assert(work_group_partly_awaits_preemption(g));
	talloc_free(f);
}
END_TEST

START_TEST(an_attempt_of_a_gang_counts_as_one_failure)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_gang(f, 1, 1, 3, 1);
	struct fleet_server *servers[3];

	for (int i = 0; i < 3; i++)
		servers[i] = sample_server(f, 0);
	work_task_assign_gang(g, servers);
	ck_assert(!work_task_record_failure(&g->task[0]));
	ck_assert(!work_task_record_failure(&g->task[1]));
	for (int i = 0; i < 3; i++)
		work_task_release(&g->task[i]);
	work_task_assign_gang(g, servers);
	ck_assert_uint_eq(g->task[2].attempt, 2);
	ck_assert(work_task_record_failure(&g->task[2]));
	talloc_free(f);
}
END_TEST

START_TEST(members_of_a_gang_share_attempt_and_snapshot)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_gang(f, 1, 1, 2, 1);
	struct fleet_server *servers[2] = {sample_server(f, 0), sample_server(f, 0)};

	g->task[0].attempt = 4;
	work_task_set_snapshot(&g->task[1], str_from("saved"));
	work_task_assign_gang(g, servers);
	ck_assert_uint_eq(g->task[0].attempt, 5);
	ck_assert_uint_eq(g->task[1].attempt, 5);
	ck_assert_str_eq(g->task[0].snapshot, "saved");
	talloc_free(f);
}
END_TEST

START_TEST(a_job_row_is_decoded_as_it_was_encoded)
{
	struct work_job *job = sample_job(NULL, 7, 2, 5, 1);
	struct work_job *read;
	char *text;

	job->step[0].is_gang = true;
	job->step[0].label = talloc_strdup(job, "a");
	job->step[0].image = talloc_strdup(job, "render:7");
	job->times = 2;
	job->every_ms = 100;
	ck_assert_ptr_null(work_job_finalize(job));
	text = work_job_encode(job, job);
	read = work_job_decode(job, str_from(job->id), str_from(text));
	ck_assert_ptr_nonnull(read);
	ck_assert_str_eq(text, work_job_encode(job, read));
	/* a new leader must recognize the workload of samples from before */
	ck_assert_uint_eq(read->step[0].workload, job->step[0].workload);
	read->step[0].image = NULL;
	ck_assert_ptr_null(work_job_finalize(read));
	ck_assert_uint_ne(read->step[0].workload, job->step[0].workload);
	ck_assert_ptr_null(work_job_decode(job, str_from(job->id), str_from("{\"steps\":[]}")));
	talloc_free(job);
}
END_TEST

START_TEST(tasks_that_an_earlier_leader_placed_are_unconfirmed)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 3, 2));
	struct work_group *read = sample_start(sample_job(f, 1, 1, 3, 2));
	struct fleet *later = sample_fleet(f, 1, 1);
	char *text;

	work_task_finish(&g->task[0]);
	sample_run(&g->task[1], sample_server(f, 1), 5);
	work_task_set_snapshot(&g->task[2], str_from("x"));
	g->task[2].failures = 1;
	text = work_group_encode(f, g, 0, true);
	ck_assert(work_group_merge(read, 0, str_from(text), later, 99));
	ck_assert_int_eq(read->task[0].state, TASK_DONE);
	ck_assert_int_eq(read->task[1].state, TASK_UNCONFIRMED);
	ck_assert_int_eq(read->task[1].state_deadline, 99);
	ck_assert_str_eq(read->task[1].server->id, "s1");
	ck_assert_int_eq(read->task[1].server->presence, FLEET_UNLISTED);
	ck_assert_str_eq(read->task[1].server->address, "10.0.0.1:1");
	ck_assert_int_eq(read->task[2].state, TASK_WAITING);
	ck_assert_uint_eq(read->task[2].failures, 1);
	ck_assert(!work_group_merge(read, 0, str_from("[]"), later, 99));
	talloc_free(f);
}
END_TEST

/*
 * Found on the scaled-down copy of the large site: rows of steps with many tasks
 * saturated the leader's link.
 */
START_TEST(the_rows_of_a_wide_step_are_short)
{
	struct fleet *f = sample_fleet(NULL, 10, 10);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 470, 1));
	struct work_group *read = sample_start(sample_job(f, 1, 1, 470, 1));
	struct fleet *later = sample_fleet(f, 10, 10);
	size_t bytes = 0;

	for (unsigned int i = 0; i < 150; i++) {
		sample_run(&g->task[i], sample_server(f, i / 8 % 10), 0);
		if (i < 80)
			work_task_finish(&g->task[i]);
	}
	for (unsigned int r = 0; r < g->row_count; r++) {
		char *text = work_group_encode(f, g, r, true);

		bytes += strlen(text);
		ck_assert(work_group_merge(read, r, str_from(text), later, 99));
	}
	/* about one network segment, with the names of the servers */
	ck_assert_uint_le(bytes, 1500);
	for (unsigned int i = 0; i < 470; i++)
		ck_assert_int_eq(read->task[i].state, i < 80	? TASK_DONE
						      : i < 150 ? TASK_UNCONFIRMED
								: TASK_WAITING);
	ck_assert(!work_group_merge(
		read, 0, str_from("{\"servers\":[],\"tasks\":[[471,0,0,0,-1,\"\"]]}"), f, 99));
	ck_assert(!work_group_merge(read, 0, str_from("{\"servers\":[],\"tasks\":[[-1],[471]]}"), f,
				    99));
	talloc_free(f);
}
END_TEST

/* one task a server, each with the longest names and numbers */
static void run_apart(struct work_group *g, struct fleet *f, int id_bytes)
{
	for (unsigned int i = 0; i < g->count; i++) {
		struct fleet_server *sv =
			fleet_add(f, talloc_asprintf(f, "%0*x", id_bytes, i), INT64_MAX);

		sv->address = talloc_strdup(sv, "255.255.255.255:65535");
		sample_run(&g->task[i], sv, 0);
		g->task[i].attempt = UINT32_MAX - i % 2;
		g->task[i].failures = UINT32_MAX;
	}
}

/*
 * A row of 1024 tasks on as many servers exceeded the store's limit; the leader sent it
 * again for ever.
 */
START_TEST(no_row_of_a_group_exceeds_the_limit_of_the_store)
{
	const unsigned int counts[] = {1, WORK_ROW_TASKS, 470, 1024, WORK_TASKS_MAX};

	for (unsigned int k = 0; k < G_N_ELEMENTS(counts); k++) {
		struct fleet *f = fleet_new(NULL);
		struct work_group *g = sample_start(sample_job(f, 1, 1, counts[k], 1));

		run_apart(g, f, 200);
		ck_assert_int_le(work_job_group_row_bytes(g->job), 65536);
		for (unsigned int i = 0; i < g->count; i++)
			work_task_set_snapshot(&g->task[i],
					       str_from(talloc_asprintf(f, "%016x", i)));
		for (unsigned int r = 0; r < g->row_count; r++) {
			ck_assert_int_le((int64_t)strlen(work_group_encode(f, g, r, false)),
					 work_job_group_row_bytes(g->job));
			ck_assert_uint_le(strlen(work_group_encode(f, g, r, true)), 65536);
		}
		talloc_free(f);
	}
}
END_TEST

START_TEST(a_change_of_a_task_changes_only_its_row)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 300, 1));
	uint64_t changes;

	ck_assert_uint_eq(g->row_count, 3);
	ck_assert(!work_group_has_changes(g));
	work_task_assign(&g->task[299], sample_server(f, 0));
	ck_assert_uint_eq(g->row[0].changes, 0);
	ck_assert_uint_eq(g->task[299].assigned_change, g->row[2].changes);
	changes = g->changes;
	ck_assert(!work_group_is_stored(g, changes));
	work_task_finish(&g->task[0]);
	g->row[2].stored = g->row[2].changes;
	ck_assert(work_group_has_changes(g));
	ck_assert(!work_group_is_stored(g, g->changes));
	/* row 0 may hold an earlier change too */
	ck_assert(!work_group_is_stored(g, changes));
	g->row[0].stored = g->row[0].changes;
	ck_assert(work_group_is_stored(g, changes));
	work_task_finish(&g->task[1]);
	ck_assert(work_group_is_stored(g, g->row[0].stored));
	talloc_free(f);
}
END_TEST

START_TEST(a_failure_of_a_gang_changes_all_its_rows)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_gang(f, 1, 1, 300, 0);

	g->task[0].attempt = 1;
	work_task_record_failure(&g->task[0]);
	for (unsigned int r = 0; r < 3; r++)
		ck_assert_uint_gt(g->row[r].changes, 0);
	talloc_free(f);
}
END_TEST

/* A row of an earlier version holds all tasks; the rows written since are newer. */
START_TEST(a_row_with_all_tasks_is_read_and_replaced)
{
	struct fleet *f = sample_fleet(NULL, 2, 2);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 300, 0));
	struct work_group *read = sample_start(sample_job(f, 1, 1, 300, 0));
	struct fleet *later = sample_fleet(f, 1, 1);
	static const char all[] = "{\"servers\":[[\"s0\",1000,\"10.0.0.0:1\"]],\"tasks\":["
				  "[300,1,0,0,0,\"\"]],\"failed_attempt\":0}";

	for (unsigned int i = 0; i < 2; i++) {
		work_task_assign(&g->task[200], sample_server(f, 1));
		g->task[200].state = TASK_RUNNING;
	}
	work_task_finish(&g->task[201]);
	ck_assert(work_group_merge(read, 0, str_from(all), later, 99));
	for (unsigned int i = 0; i < 300; i++)
		ck_assert_int_eq(read->task[i].state, TASK_UNCONFIRMED);
	ck_assert_uint_gt(read->row[1].changes, read->row[1].stored);
	ck_assert_uint_gt(read->row[2].changes, read->row[2].stored);
	ck_assert(work_group_merge(read, 1, str_from(work_group_encode(f, g, 1, true)), later, 99));
	ck_assert_uint_eq(read->task[200].attempt, 2);
	ck_assert_int_eq(read->task[200].state, TASK_UNCONFIRMED);
	ck_assert_str_eq(read->task[200].server->id, "s1");
	ck_assert_int_eq(read->task[201].state, TASK_ENDING);
	ck_assert_str_eq(read->task[299].server->id, "s0");
	/* only row 0 may hold all tasks, and there is no row 3 */
	ck_assert(!work_group_merge(read, 1, str_from(all), later, 99));
	ck_assert(!work_group_merge(read, 3, str_from(all), later, 99));
	talloc_free(f);
}
END_TEST

/*
 * A server restarts and the leader dies: the list and one row still name the old incarnation,
 * another row the new one. The tasks of the old one once waited for a poll that never came.
 */
START_TEST(a_row_that_names_a_newer_incarnation_moves_tasks_of_the_old_one)
{
	struct fleet *before = sample_fleet(NULL, 1, 1);
	struct fleet *after = sample_fleet(NULL, 1, 1);
	struct fleet *loaded = sample_fleet(NULL, 1, 1);
	struct work_group *old = sample_start(sample_job(before, 1, 1, 1, 1));
	struct work_group *new = sample_start(sample_job(after, 2, 1, 1, 1));
	struct work_group *read_old = sample_start(sample_job(loaded, 1, 1, 1, 1));
	struct work_group *read_new = sample_start(sample_job(loaded, 2, 1, 1, 1));

	sample_server(after, 0)->born = sample_server(before, 0)->born + 500;
	sample_run(&old->task[0], sample_server(before, 0), 0);
	sample_run(&new->task[0], sample_server(after, 0), 0);
	ck_assert(work_group_merge(read_old, 0, str_from(work_group_encode(before, old, 0, true)),
				   loaded, 99));
	ck_assert_int_eq(read_old->task[0].state, TASK_UNCONFIRMED);
	ck_assert(work_group_merge(read_new, 0, str_from(work_group_encode(after, new, 0, true)),
				   loaded, 99));
	ck_assert_int_eq(read_new->task[0].state, TASK_UNCONFIRMED);
	ck_assert_int_eq(read_old->task[0].state, TASK_UNCONFIRMED);
	ck_assert_ptr_eq(read_old->task[0].server, fleet_find(loaded, "s0"));
	ck_assert_ptr_eq(read_new->task[0].server, fleet_find(loaded, "s0"));
	ck_assert_uint_eq(read_old->task[0].crash_points_unless_listed, 1);
	ck_assert_uint_eq(read_new->task[0].crash_points_unless_listed, 0);
	talloc_free(before);
	talloc_free(after);
	talloc_free(loaded);
}
END_TEST

/*
 * Guards against two runs at once: the former leader's start was answered by the new incarnation,
 * before its entry changed.
 */
START_TEST(a_task_stored_on_a_replaced_incarnation_is_unconfirmed_on_the_newest)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 2));
	struct work_group *read = sample_start(sample_job(f, 1, 1, 1, 2));
	struct fleet_server *newest;
	char *text;

	sample_run(&g->task[0], sample_server(f, 0), 5);
	text = work_group_encode(f, g, 0, true);
	newest = fleet_add(f, "s0", 2000);
	ck_assert(work_group_merge(read, 0, str_from(text), f, 99));
	ck_assert_int_eq(read->task[0].state, TASK_UNCONFIRMED);
	ck_assert_ptr_eq(read->task[0].server, newest);
	ck_assert_int_eq(read->task[0].state_deadline, 99);
	ck_assert_uint_eq(read->task[0].last_poll, 0);
	ck_assert_uint_eq(read->task[0].attempt, 1);
	talloc_free(f);
}
END_TEST

/* Guards against a task that is started again by each leader, as none knows of its crashes. */
START_TEST(points_of_blame_outlast_a_leader)
{
	struct fleet *f = sample_fleet(NULL, 2, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 2, 2));
	struct work_group *read = sample_start(sample_job(f, 1, 1, 2, 2));
	struct str text;

	work_task_assign(&g->task[1], sample_server(f, 0));
	work_task_release(&g->task[1]);
	ck_assert(!work_task_record_crash(&g->task[1], 2, true));
	ck_assert(work_group_has_changes(g));
	text = str_from(work_group_encode(f, g, 0, true));
	ck_assert(work_group_merge(read, 0, text, f, 99));
	ck_assert(work_group_merge(read, 0, text, f, 99));
	ck_assert_uint_eq(read->task[0].crash_points, 0);
	ck_assert_uint_eq(read->task[1].crash_points, 2);
	work_task_assign(&read->task[1], sample_server(f, 0));
	ck_assert(work_task_record_crash(&read->task[1], 3, true));
	talloc_free(f);
}
END_TEST

START_TEST(a_row_of_an_earlier_version_has_no_points_of_blame)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 2));

	ck_assert(work_group_merge(
		g, 0,
		str_from("{\"servers\":[],\"tasks\":[[1,4,1,0,-1,\"\"]],\"failed_attempt\":0}"), f,
		99));
	ck_assert_uint_eq(g->task[0].attempt, 4);
	ck_assert_uint_eq(g->task[0].crash_points, 0);
	talloc_free(f);
}
END_TEST

/* Guards against points for each restart of a server that a stop of the task is sent to. */
START_TEST(an_attempt_counts_for_one_crash)
{
	struct fleet *f = sample_fleet(NULL, 2, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 2));
	struct work_task *t = &g->task[0];

	work_task_assign(t, sample_server(f, 0));
	for (int i = 0; i < 3; i++) {
		ck_assert(!work_task_record_crash(t, 2, true));
		work_task_change_incarnation(t, sample_server(f, 1));
	}
	ck_assert_uint_eq(t->crash_points, 2);
	work_task_assign(t, sample_server(f, 0));
	work_task_record_crash(t, 2, true);
	ck_assert_uint_eq(t->crash_points, 4);
	talloc_free(f);
}
END_TEST

/* Guards against a task judged, or released, by what it did in an earlier incarnation. */
START_TEST(a_task_that_follows_its_server_begins_anew_there)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 2));
	struct work_task *t = &g->task[0];

	sample_run(t, sample_server(f, 0), 5);
	t->percent = 40;
	t->first_percent = 10;
	t->last_poll = 7;
	ck_assert(!t->was_sent_to_former);
	work_task_change_incarnation(t, fleet_add(f, "s0", 2000));
	ck_assert(t->was_sent_to_former);
	ck_assert_int_eq(t->state, TASK_RUNNING);
	ck_assert_int_eq(t->percent, 0);
	ck_assert_int_eq(t->first_percent, -1);
	ck_assert_uint_eq(t->last_poll, 0);
	work_task_release(t);
	work_task_await_preemption(t, fleet_find(f, "s0"));
	ck_assert(!t->was_sent_to_former);
	work_task_assign(t, fleet_find(f, "s0"));
	ck_assert(!t->was_sent_to_former);
	talloc_free(f);
}
END_TEST

/* Guards against a job given up although its task may have run on no server that crashed. */
START_TEST(crashes_that_no_leader_saw_do_not_give_up_a_task_alone)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 2));
	struct work_group *read = sample_start(sample_job(f, 1, 1, 1, 2));
	struct work_task *t = &g->task[0];

	for (int i = 0; i < WORK_CRASH_POINTS_MAX; i++) {
		work_task_assign(t, sample_server(f, 0));
		ck_assert(!work_task_record_crash(t, WORK_CRASH_UNSEEN_POINTS, false));
	}
	work_task_assign(t, sample_server(f, 0));
	ck_assert(!work_task_record_crash(t, 2, true));
	ck_assert(work_group_merge(read, 0, str_from(work_group_encode(f, g, 0, true)), f, 99));
	ck_assert(!work_task_is_given_up(&read->task[0]));
	work_task_assign(&read->task[0], sample_server(f, 0));
	ck_assert(work_task_record_crash(&read->task[0], 1, true));
	talloc_free(f);
}
END_TEST

START_TEST(a_crash_that_no_leader_saw_counts_once)
{
	struct fleet *f = sample_fleet(NULL, 1, 1);
	struct work_group *g = sample_start(sample_job(f, 1, 1, 1, 2));
	struct work_group *read = sample_start(sample_job(f, 1, 1, 1, 2));
	struct str text;

	sample_run(&g->task[0], sample_server(f, 0), 5);
	text = str_from(work_group_encode(f, g, 0, true));
	fleet_add(f, "s0", 2000);
	for (int i = 0; i < 2; i++) {
		ck_assert(work_group_merge(read, 0, text, f, 99));
		ck_assert_uint_eq(read->task[0].crash_points, (unsigned int)i);
		ck_assert_uint_eq(read->task[0].crash_points_unless_listed, 1);
		work_task_release(&read->task[0]);
		work_task_record_crash(&read->task[0], 1, true);
	}
	ck_assert_uint_eq(read->task[0].crash_points, 1);
	talloc_free(f);
}
END_TEST

/* the row must outlast a change of version: one that can't be decoded would not end the job */
START_TEST(a_job_cancelled_before_its_submission_is_stored)
{
	struct str id = str_from("00000000000000aa");
	struct work_job *job = work_job_new_unsubmitted(NULL, id, "w", 5000);
	struct work_job *read = work_job_decode(job, id, str_from(work_job_encode(job, job)));

	ck_assert_ptr_nonnull(read);
	ck_assert(read->is_unsubmitted);
	ck_assert_int_eq(read->state, WORK_CANCELLED);
	ck_assert_int_eq(read->ended_ms, 5000);
	ck_assert_str_eq(read->workspace, "w");
	talloc_free(job);
}
END_TEST

START_TEST(group_keys_are_parsed_or_rejected)
{
	struct work_job *job = sample_job(NULL, 0xab, 1, 1, 1);
	struct work_group_name name;

	ck_assert_str_eq(work_group_key(job, job, 3, 1, 0), "00000000000000ab.3.1");
	ck_assert(work_group_key_parse("00000000000000ab.3.1", &name));
	ck_assert_str_eq(name.id, "00000000000000ab");
	ck_assert_uint_eq(name.occurrence, 3);
	ck_assert_uint_eq(name.step, 1);
	ck_assert_uint_eq(name.row, 0);
	ck_assert(work_group_key_parse(work_group_key(job, job, 3, 1, 31), &name));
	ck_assert_uint_eq(name.step, 1);
	ck_assert_uint_eq(name.row, 31);
	ck_assert(!work_group_key_parse("00000000000000ab", &name));
	ck_assert(!work_group_key_parse("zz00000000000000.0.0", &name));
	talloc_free(job);
}
END_TEST

static void add_tests(TCase *t)
{
	tcase_add_test(t, critical_path_is_the_longest_chain_of_steps);
	tcase_add_test(t, a_step_that_depends_on_itself_is_rejected);
	tcase_add_test(t, occurrences_start_when_due);
	tcase_add_test(t, capacity_is_held_until_the_task_is_released);
	tcase_add_test(t, an_ending_member_of_a_gang_holds_capacity_until_it_is_finished);
	tcase_add_test(t, a_gang_that_partly_awaits_preemption_is_detected);
	tcase_add_test(t, an_attempt_of_a_gang_counts_as_one_failure);
	tcase_add_test(t, members_of_a_gang_share_attempt_and_snapshot);
	tcase_add_test(t, a_job_row_is_decoded_as_it_was_encoded);
	tcase_add_test(t, tasks_that_an_earlier_leader_placed_are_unconfirmed);
	tcase_add_test(t, the_rows_of_a_wide_step_are_short);
	tcase_add_test(t, no_row_of_a_group_exceeds_the_limit_of_the_store);
	tcase_add_test(t, a_change_of_a_task_changes_only_its_row);
	tcase_add_test(t, a_failure_of_a_gang_changes_all_its_rows);
	tcase_add_test(t, a_row_with_all_tasks_is_read_and_replaced);
	tcase_add_test(t, a_row_that_names_a_newer_incarnation_moves_tasks_of_the_old_one);
	tcase_add_test(t, a_task_stored_on_a_replaced_incarnation_is_unconfirmed_on_the_newest);
	tcase_add_test(t, points_of_blame_outlast_a_leader);
	tcase_add_test(t, a_row_of_an_earlier_version_has_no_points_of_blame);
	tcase_add_test(t, an_attempt_counts_for_one_crash);
	tcase_add_test(t, a_task_that_follows_its_server_begins_anew_there);
	tcase_add_test(t, crashes_that_no_leader_saw_do_not_give_up_a_task_alone);
	tcase_add_test(t, a_crash_that_no_leader_saw_counts_once);
	tcase_add_test(t, a_job_cancelled_before_its_submission_is_stored);
	tcase_add_test(t, group_keys_are_parsed_or_rejected);
}

int main(void)
{
	return run_suite("work", add_tests);
}
