#include "silence.h"

int64_t silence_since(const int64_t *contacts, unsigned int count, int64_t interval_ms, int64_t now)
{
	int64_t newest = 0;
	int64_t since;

	for (unsigned int i = 0; i < count; i++)
		if (contacts[i] > newest)
			newest = contacts[i];
	since = newest + SILENCE_MIN_MS;
	return newest && since <= now && now - newest < SILENCE_FORGET_MS ? since : 0;
}
