/**
 * DOC: snapshot - read-copy-update (RCU) of one pointer to an immutable value
 *
 * Readers take no lock. The only writer publishes a new value; the old one is
 * freed once every reader that may have seen it has left its read section.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

/**
 * struct snapshot - a published pointer; zero-initialise it
 * @value: current value, NULL before the first snapshot_publish(); not accessed directly
 */
struct snapshot {
	void *value;
};

/** snapshot_thread_register() - register a thread once before its first read section */
void snapshot_thread_register(void);
/** snapshot_thread_unregister() - unregister a thread before it exits */
void snapshot_thread_unregister(void);
/** snapshot_read_begin() - enter a read section; the value is valid until snapshot_read_end() */
void *snapshot_read_begin(struct snapshot *s);
/** snapshot_read_end() - leave the read section that this thread entered last */
void snapshot_read_end(void);
/**
 * snapshot_publish() - replace the value
 * @value: the new value
 * @free_old: called with the old value, if any, before this function returns
 *
 * Blocks until every reader of the old value has left its read section, so it
 * must not be called within one.
 */
void snapshot_publish(struct snapshot *s, void *value, void (*free_old)(void *));

#endif
