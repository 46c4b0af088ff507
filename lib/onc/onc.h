/**
 * DOC: onc - ONC RPC (RFC 5531) over TCP on a tevent loop
 *
 * Messages are encoded by libtirpc's XDR routines; the sockets and the record
 * marks are handled here, with a bound on every record. A server or client
 * belongs to one thread.
 */
#ifndef ONC_H
#define ONC_H

#include <rpc/rpc.h>
#include <tevent.h>
#include "base/base.h"

#define ONC_RECORD_MAX (8U * 1024 * 1024)

/**
 * struct onc_proc - one procedure that a server offers
 * @prog: program number
 * @vers: program version
 * @proc: procedure number
 * @args_xdr: codec of the arguments
 * @args_size: size of the decoded arguments
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
 * @proc: which procedure
 * @args: decoded arguments, freed with the request
 * @server_data: pointer given to onc_server_new()
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
 * struct onc_server_options - where and for whom a server listens
 * @ip: address
 * @port: port
 * @allow: networks in "a.b.c.d/n" form whose peers may connect
 * @allow_count: number of entries in @allow
 * @procs: procedures on offer
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

struct onc_server *onc_server_new(TALLOC_CTX *ctx, struct tevent_context *ev,
				  const struct onc_server_options *opt, onc_handler *handler,
				  void *data);
/** onc_reply() - encode @res and send it; safe when the connection is gone */
void onc_reply(struct onc_request *req, void *res);

enum onc_result {
	ONC_OK,	      /* a result arrived */
	ONC_NOT_SENT, /* no connection, nothing reached the server */
	ONC_LOST,     /* sent, but no result by the deadline */
	ONC_REJECTED, /* the server understood but refused the call */
};

typedef void onc_done(enum onc_result result, void *res, void *data);

/** onc_client_new() - a client for one peer; it connects on the first call */
struct onc_client *onc_client_new(TALLOC_CTX *ctx, struct tevent_context *ev, const char *ip,
				  uint16_t port);
/**
 * onc_call() - send one call
 * @done is called exactly once, never from within. A call that gets no answer
 * closes the connection, because it may have gone silent; the other calls on it
 * are lost with it.
 */
void onc_call(struct onc_client *client, const struct onc_proc *proc, void *args, size_t res_size,
	      int64_t deadline, onc_done *done, void *data);

#endif
