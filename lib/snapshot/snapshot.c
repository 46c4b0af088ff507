#include "snapshot.h"

#include <urcu/urcu-memb.h>

/*
 * liburcu's barriers are invisible to ThreadSanitizer, so the pointer is
 * published and read by __atomic operations, which it understands.
 */
#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#define READ_LEFT(s) __tsan_release(s)
#define READERS_GONE(s) __tsan_acquire(s)
#else
#define READ_LEFT(s) ((void)(s))
#define READERS_GONE(s) ((void)(s))
#endif

static char read_sections; /* address that stands for all read sections */

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
	READ_LEFT(&read_sections);
	urcu_memb_read_unlock();
}

void snapshot_publish(struct snapshot *s, void *value, void (*free_old)(void *))
{
	void *old = __atomic_exchange_n(&s->value, value, __ATOMIC_ACQ_REL);

	if (!old)
		return;
	urcu_memb_synchronize_rcu();
	READERS_GONE(&read_sections);
	free_old(old);
}
