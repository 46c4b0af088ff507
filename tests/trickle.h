/**
 * DOC: trickle - an HTTP server whose answers arrive at a set rate, or stop in the middle
 */
#ifndef TRICKLE_H
#define TRICKLE_H

#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/base.h"

#define TRICKLE_TICK_MS 20

/**
 * struct trickle - the server; one a process
 * @answer: body of each answer
 * @bytes_per_s: rate at which an answer is sent, headers included
 * @bytes_max: an answer stops after so many bytes, and its connection stays open
 */
static struct {
	int listener;
	pthread_t thread;
	const char *answer;
	size_t bytes_per_s;
	size_t bytes_max;
} trickle;

static inline void trickle_answer(int fd)
{
	size_t piece = trickle.bytes_per_s * TRICKLE_TICK_MS / 1000;
	char *text = talloc_asprintf(NULL, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
				     strlen(trickle.answer), trickle.answer);
	size_t len = MIN(strlen(text), trickle.bytes_max);
	struct timespec tick = {0, TRICKLE_TICK_MS * BASE_NS_PER_MS};

	for (size_t sent = 0; sent < len;) {
		ssize_t n = send(fd, text + sent, MIN(piece, len - sent), MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (size_t)n;
		nanosleep(&tick, NULL);
	}
	talloc_free(text);
}

/* serves one connection after the other; each carries one request */
static inline void *trickle_serve(void *data)
{
	char request[4096];
	int fd;

	while ((fd = accept(trickle.listener, NULL, NULL)) >= 0) {
		if (recv(fd, request, sizeof(request), 0) > 0)
			trickle_answer(fd);
		while (recv(fd, request, sizeof(request), 0) > 0)
			;
		close(fd);
	}
	return NULL;
}

/* @answer must live until trickle_stop() */
static inline void trickle_start(uint16_t port, const char *answer, size_t bytes_per_s,
				 size_t bytes_max)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(port)};
	int on = 1;

	trickle.answer = answer;
	trickle.bytes_per_s = bytes_per_s;
	trickle.bytes_max = bytes_max;
	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	trickle.listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(trickle.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(trickle.listener, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(trickle.listener, 8), 0);
	ck_assert_int_eq(pthread_create(&trickle.thread, NULL, trickle_serve, NULL), 0);
}

static inline void trickle_stop(void)
{
	shutdown(trickle.listener, SHUT_RDWR);
	pthread_cancel(trickle.thread);
	pthread_join(trickle.thread, NULL);
	close(trickle.listener);
}

#endif
