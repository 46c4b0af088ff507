/**
 * DOC: evacuation - failure domains to which the operator lets no work be sent
 *
 * Load pattern: the operator evacuates a failure domain while leaders change, feeds break off
 * and links are cut. Rows are seen more than once, late, and by reads and feeds side by side.
 * Whoever sends starts must know the domains, and how old that knowledge is, because a start
 * that is based on an outdated view breaks the operator's request.
 *
 * A row with the domain's name is in force while it exists. Versions order all that is seen of
 * one row; a feed and a read may arrive in any order. The functions do no I/O and read no clock:
 * times are in ms on any monotonic clock.
 */
#ifndef EVACUATION_H
#define EVACUATION_H

#include "base/base.h"

#define EVACUATION_DOMAINS_MAX 32 /* the largest design has 11 failure domains */
#define EVACUATION_NAME_MAX 160	  /* bytes; a longer name fits into no call between VMs */

/*
 * Part of the bound that is left for a start on its way: 400 ms until the leader gives up the
 * wait, 400 ms for an agent's answer, and 200 ms of a busy process.
 */
#define EVACUATION_ORDER_MS 1000
/*
 * The clock of a server that has not been heard for long may run 2 % slow. A start takes that
 * into account up to this time, half of what is left for it at least.
 */
#define EVACUATION_CLOCK_MARGIN_MS 500

/**
 * struct evacuation - what is known of one row
 * @domain: name of the failure domain, owned by the set
 * @version: newest version seen of the row, or of its removal
 * @seen_at: when the call was sent whose answer showed that version, in ms
 * @is_in_force: the row exists
 */
struct evacuation {
	char *domain;
	int64_t version;
	int64_t seen_at;
	bool is_in_force;
};

struct evacuations;

/** evacuation_change_fn() - a domain is evacuated from now on, or no longer */
typedef void evacuation_change_fn(const struct evacuation *e, void *data);

/** evacuations_new() - empty set, not confirmed; @on_change is called for each change */
struct evacuations *evacuations_new(TALLOC_CTX *ctx, evacuation_change_fn *on_change, void *data);

/**
 * evacuations_apply() - take a change of a row that a feed reports
 * @domain: any bytes; a name that is empty, too long or holds a NUL names no domain
 * @version: version of the row, or of its removal
 * @seen_at: when the feed's call was sent, in ms
 */
void evacuations_apply(struct evacuations *set, struct str domain, int64_t version, bool is_removed,
		       int64_t seen_at);

/** evacuations_read_begin() - a read of all rows begins; discards an earlier unfinished one */
void evacuations_read_begin(struct evacuations *set);
/** evacuations_read_row() - the read shows a row; repeated rows are allowed */
void evacuations_read_row(struct evacuations *set, struct str domain, int64_t version);
/**
 * evacuations_read_end() - the read is complete: rows that it did not show have been removed
 * @version: the read shows all changes up to this one, and may show later ones
 * @sent_at: when its first call was sent, in ms
 */
void evacuations_read_end(struct evacuations *set, int64_t version, int64_t sent_at);

/** evacuations_lose() - changes may have been missed; only a read that begins later confirms */
void evacuations_lose(struct evacuations *set);
/** evacuations_must_read() - no read has ended that began after the last loss */
bool evacuations_must_read(const struct evacuations *set);
/**
 * evacuations_confirm() - a feed has reported all changes up to its answer
 * @sent_at: when the feed's call was sent, in ms
 */
void evacuations_confirm(struct evacuations *set, int64_t sent_at);

/** evacuations_contain() - no work may be sent to servers of @domain */
bool evacuations_contain(const struct evacuations *set, const char *domain);
/** evacuations_count() - number of evacuated domains */
unsigned int evacuations_count(const struct evacuations *set);
/** evacuations_are_complete() - there were not more rows than the set holds */
bool evacuations_are_complete(const struct evacuations *set);
/** evacuations_age_ms() - the set holds all rows that existed so long ago; -1 when not known */
int64_t evacuations_age_ms(const struct evacuations *set, int64_t now);

/**
 * evacuations_age_max_ms() - age of the set up to which tasks may be started
 * @bound_ms: time after the operator's request from which no task may start
 */
int64_t evacuations_age_max_ms(int64_t bound_ms);
/**
 * evacuations_allow_starts() - the set is new enough to start tasks outside of its domains
 * @since: the set must have been confirmed since then, in ms
 */
bool evacuations_allow_starts(const struct evacuations *set, int64_t bound_ms, int64_t since,
			      int64_t now);
/**
 * evacuations_start_within_ms() - time in ms for which a start that is sent now may be carried out
 * @silent_ms: how long the server has not told its clock
 */
int64_t evacuations_start_within_ms(const struct evacuations *set, int64_t bound_ms,
				    int64_t silent_ms, int64_t now);

#endif
