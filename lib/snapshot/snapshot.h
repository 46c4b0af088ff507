/**
 * DOC: snapshot - read-copy-update of one pointer to an immutable value
 *
 * Readers take no lock. The one writer publishes a new value; the old one is
 * freed after every reader that could see it has left its read section.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

struct snapshot {
	void *value;
};

/** snapshot_thread_register() - call once in every thread that reads */
void snapshot_thread_register(void);
void snapshot_thread_unregister(void);
/** snapshot_read_begin() - enter a read section; the value is valid until snapshot_read_end() */
void *snapshot_read_begin(struct snapshot *s);
void snapshot_read_end(void);
/** snapshot_publish() - replace the value; @free_old gets the old one later, on this thread */
void snapshot_publish(struct snapshot *s, void *value, void (*free_old)(void *));

#endif
