/**
 * DOC: onc - ONC RPC (RFC 5531) over TCP on a tevent loop
 *
 * libtirpc's XDR routines encode and decode the messages. This module handles
 * the sockets and the record marking, and rejects records above ONC_RECORD_MAX.
 * A server or client belongs to one thread.
 */
#ifndef ONC_H
#define ONC_H

#include <rpc/rpc.h>
#include <tevent.h>
#include "base/base.h"

#define ONC_RECORD_MAX (8U * 1024 * 1024) /* bytes; a longer record closes the connection */

#define ONC_STALL_MS 600
#define ONC_TRANSFER_MAX_MS 30000

/**
 * struct onc_proc - one procedure, as a server offers it and a client calls it
 * @prog: program number
 * @vers: program version
 * @proc: procedure number
 * @args_xdr: codec of the arguments
 * @args_size: size of the decoded arguments in bytes
 * @res_xdr: codec of the result
 */
struct onc_proc {
	uint32_t prog;
	uint32_t vers;
	uint32_t proc;
	xdrproc_t args_xdr;
	size_t args_size;
	xdrproc_t res_xdr;
};

/**
 * struct onc_request - one call in progress at a server; freed by onc_reply()
 * @proc: the procedure that was called
 * @args: decoded arguments, freed with the request
 * @server_data: @data of onc_server_new()
 */
struct onc_request {
	const struct onc_proc *proc;
	void *args;
	void *server_data;
};

typedef void onc_handler(struct onc_request *req);

struct onc_server;
struct onc_client;

/**
 * struct onc_server_options - address, permitted peers and procedures of a server
 * @ip: address to listen on
 * @port: port to listen on
 * @allow: networks as "a.b.c.d/n"; connections from other addresses are closed at once
 * @allow_count: number of entries in @allow
 * @procs: procedures that the server offers; borrowed, like @allow
 * @proc_count: number of entries in @procs
 */
struct onc_server_options {
	const char *ip;
	uint16_t port;
	const char *const *allow;
	unsigned int allow_count;
	const struct onc_proc *procs;
	unsigned int proc_count;
};

/**
 * onc_server_new() - start a server on the loop @ev; talloc_free() stops it
 * @handler: called with each request; calls onc_reply() at once or later
 * @data: passed on as onc_request.server_data
 * Return: the server, or NULL when it cannot listen on the address.
 */
struct onc_server *onc_server_new(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const struct onc_server_options *opt, onc_handler *handler,
				  void *data);
/**
 * onc_reply() - send @res, whose type is that of the procedure's res_xdr, and free the request
 *
 * Sends nothing when the connection has been closed since.
 */
void onc_reply(struct onc_request *req, void *res);

enum onc_result {
	ONC_OK,	      /* a result arrived */
	ONC_NOT_SENT, /* no connection; nothing was sent */
	ONC_LOST,     /* sent, but the connection failed or no result arrived by the deadline */
	ONC_REJECTED, /* the server answered with an RPC error, or with a reply that cannot be
			 decoded */
};

/* @res is the decoded result, borrowed for the call; NULL unless ONC_OK */
typedef void onc_done(enum onc_result result, void *res, void *data);

/** onc_client_new() - a client of one peer, which connects on its first call */
struct onc_client *onc_client_new(TALLOC_CTX *ctx, struct tevent_context *ev, const char *ip,
				  uint16_t port);
/**
 * onc_call() - send one call
 * @args: arguments of the procedure's type, borrowed for onc_call() only
 * @res_size: size of the decoded result in bytes
 * @deadline: when the call ends without a result, in ns on the clock of base_now_ns(). While
 *            a record is being received, the call goes on until no byte of it arrives for
 *            ONC_STALL_MS, and at most ONC_TRANSFER_MAX_MS beyond @deadline
 * @done: called exactly once, after onc_call() has returned
 *
 * A call that gets no answer by its deadline closes the connection, because the
 * connection may be dead; the other calls on it then end with ONC_LOST as well.
 */
void onc_call(struct onc_client *client, const struct onc_proc *proc, void *args, size_t res_size,
	      int64_t deadline, onc_done *done, void *data);

#endif
