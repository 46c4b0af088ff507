#include "snapshot.h"

#include <urcu/urcu-memb.h>

/*
 * ThreadSanitizer does not see liburcu's barriers. The pointer is therefore
 * published and read by __atomic operations, which ThreadSanitizer understands,
 * and the end of read sections is annotated by hand.
 */
#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#define TSAN_READ_END(s) __tsan_release(s)
#define TSAN_READERS_DONE(s) __tsan_acquire(s)
#else
#define TSAN_READ_END(s) ((void)(s))
#define TSAN_READERS_DONE(s) ((void)(s))
#endif

static char read_sections; /* its address is the sync object of all read sections for TSan */

void snapshot_thread_register(void)
{
	urcu_memb_register_thread();
}

void snapshot_thread_unregister(void)
{
	urcu_memb_unregister_thread();
}

void *snapshot_read_begin(struct snapshot *s)
{
	urcu_memb_read_lock();
	return __atomic_load_n(&s->value, __ATOMIC_ACQUIRE);
}

void snapshot_read_end(void)
{
	TSAN_READ_END(&read_sections);
	urcu_memb_read_unlock();
}

void snapshot_publish(struct snapshot *s, void *value, void (*free_old)(void *))
{
	void *old = __atomic_exchange_n(&s->value, value, __ATOMIC_ACQ_REL);

	if (!old)
		return;
	urcu_memb_synchronize_rcu();
	TSAN_READERS_DONE(&read_sections);
	free_old(old);
}
