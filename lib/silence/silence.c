#include "silence.h"

/*
 * Load pattern: most VMs of a failure domain are gone, and the others ping at intervals that
 * grow with the site. No contact for SILENCE_MIN_MS shows a cut only when a VM that was
 * alive until then has missed a ping. In a domain with many VMs one misses it at once.
 */
int64_t silence_since(const int64_t *contacts, unsigned int count, int64_t interval_ms, int64_t now)
{
	int64_t limit = silence_limit_ms(interval_ms);
	int64_t newest = 0;
	int64_t oldest_alive;
	int64_t since;

	for (unsigned int i = 0; i < count; i++)
		if (contacts[i] > newest)
			newest = contacts[i];
	oldest_alive = newest;
	for (unsigned int i = 0; i < count; i++)
		if (contacts[i] >= newest - interval_ms && contacts[i] < oldest_alive)
			oldest_alive = contacts[i];
	since = oldest_alive + limit;
	if (since < newest + SILENCE_MIN_MS)
		since = newest + SILENCE_MIN_MS;
	return newest && since <= now && now - newest < SILENCE_FORGET_MS ? since : 0;
}
