/**
 * DOC: share - which entry VM carries out the leader's orders to a backend server
 *
 * Pure. Rendezvous hashing: a VM that comes or goes moves only its own share.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>

/**
 * struct share_vm - an entry VM that may carry out orders
 * @vm: its name
 * @failure_domain: where it stands
 * @is_large: it has the cores to carry out the orders of many servers
 */
struct share_vm {
	const char *vm;
	const char *failure_domain;
	bool is_large;
};

#define SHARE_NO_VM (-1)

/**
 * share_direct_servers_max() - a leader sends its orders itself to so many servers
 * @cores: processor share of the leader's VM
 * @link_mbps: bandwidth of its link
 *
 * To a few servers that is cheaper: an agent costs each order a way more.
 */
unsigned int share_direct_servers_max(double cores, double link_mbps);

/**
 * share_select_vm() - index of the VM for a server
 *
 * Only VMs of the server's own failure domain carry out its orders: what is cut
 * off from them is cut off from the server too. Small ones only where there is
 * no large one.
 * Return: index in @vms, or SHARE_NO_VM when the leader sends its orders itself.
 */
int share_select_vm(const struct share_vm *vms, unsigned int count, const char *server,
		    const char *failure_domain);

#endif
