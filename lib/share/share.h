/**
 * DOC: share - selects the entry VM that relays the leader's orders to a server
 *
 * The functions do no I/O. Rendezvous hashing is used, so a VM that joins or leaves
 * moves only its own share of the servers.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>

/**
 * struct share_vm - an entry VM that may relay orders
 * @vm: its name
 * @failure_domain: its failure domain
 * @is_large: it has enough cores to relay the orders to many servers
 */
struct share_vm {
	const char *vm;
	const char *failure_domain;
	bool is_large;
};

#define SHARE_NO_VM (-1)

/**
 * share_direct_servers_max() - number of servers up to which a leader sends its orders itself
 * @cores: processor share of the leader's VM, in cores
 * @link_mbps: bandwidth of its link, in Mbit/s
 *
 * For few servers this is cheaper, as an agent adds a network hop to each order.
 */
unsigned int share_direct_servers_max(double cores, double link_mbps);

/**
 * share_select_vm() - select the entry VM that relays the orders to a server
 *
 * Only VMs of the server's own failure domain are selected, because a partition
 * that cuts them off cuts off the server as well. A small VM is selected only when
 * the failure domain has no large one.
 * Return: index in @vms, or SHARE_NO_VM when the leader sends its orders itself.
 */
int share_select_vm(const struct share_vm *vms, unsigned int count, const char *server,
		    const char *failure_domain);

#endif
