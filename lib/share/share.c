#include "share.h"

#include <string.h>

#include "base/base.h"

#define DIRECT_SERVERS_MAX 128
#define DIRECT_SERVERS_PER_CORE 512.0 /* calls to this many busy servers take most of a core */
#define DIRECT_SERVERS_PER_MBPS \
	2.0 /* starts, polls and stored rows of a busy server take 3 KB/s each way */

unsigned int share_direct_servers_max(double cores, double link_mbps)
{
	double n = MIN(cores * DIRECT_SERVERS_PER_CORE, link_mbps * DIRECT_SERVERS_PER_MBPS);

	return (unsigned int)CLAMP(n, 0, DIRECT_SERVERS_MAX);
}

int share_select_vm(const struct share_vm *vms, unsigned int count, const char *server,
		    const char *failure_domain)
{
	int best = SHARE_NO_VM;
	uint64_t best_weight = 0;

	for (unsigned int i = 0; i < count; i++) {
		const struct share_vm *vm = &vms[i];
		uint64_t weight;

		if (strcmp(vm->failure_domain, failure_domain))
			continue;
		if (best != SHARE_NO_VM && vms[best].is_large && !vm->is_large)
			continue;
		weight = base_hash(server, strlen(server), base_hash(vm->vm, strlen(vm->vm), 0));
		if (best == SHARE_NO_VM || (vm->is_large && !vms[best].is_large) ||
		    weight > best_weight) {
			best = (int)i;
			best_weight = weight;
		}
	}
	return best;
}
