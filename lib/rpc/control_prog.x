/*
 * ONC RPC program over TCP: status for operators, and transfer of documents
 * between balancers.
 */

const KF_RPC_TEXT_MAX = 1048576;
const KF_RPC_NAME_MAX = 64;

struct kf_rpc_doc {
	unsigned int kind;
	unsigned int found;
	unsigned int revision;
	unsigned hyper platform_version;
	opaque text<KF_RPC_TEXT_MAX>;
};

struct kf_rpc_vm {
	string name<KF_RPC_NAME_MAX>;
	unsigned int id;
	unsigned hyper incarnation;
	string zone<KF_RPC_NAME_MAX>;
	/* Address that receives heartbeats. */
	unsigned int addr;
	unsigned int port;
	unsigned int liveness;
	unsigned int leaving;
	/* Age of the latest evidence of life; -1: none. */
	hyper heard_age_ms;
};

struct kf_rpc_upstream {
	string name<KF_RPC_NAME_MAX>;
	string service<KF_RPC_NAME_MAX>;
	string zone<KF_RPC_NAME_MAX>;
	string owner<KF_RPC_NAME_MAX>;
	string backup<KF_RPC_NAME_MAX>;
	unsigned int slots;
	unsigned int load;
	unsigned int flags;
	unsigned int draining;
	unsigned hyper incarnation;
	/* Age of the last digest; -1: none. */
	hyper heard_age_ms;
};

struct kf_rpc_counter {
	string name<KF_RPC_NAME_MAX>;
	unsigned hyper value;
};

struct kf_rpc_selector {
	string name<KF_RPC_NAME_MAX>;
	string service<KF_RPC_NAME_MAX>;
	/* Thousandths of a percent. */
	unsigned int declared_share;
	unsigned int effective_share;
	unsigned int ramp_from_share;
	hyper ramp_start_s;
	/* 0: no ramp. */
	hyper ramp_s;
	unsigned int upstreams;
};

struct kf_rpc_status {
	string name<KF_RPC_NAME_MAX>;
	unsigned int vm;
	unsigned hyper incarnation;
	unsigned int settled;
	unsigned int leaving;
	unsigned int revision;
	unsigned hyper declaration_version;
	unsigned hyper keys_version;
	unsigned hyper vms_version;
	/* Age of the latest answer of the platform that the VM knows; -1: none. */
	int platform_age_ms;
	hyper wall_ms;
	unsigned int requests_in_progress;
	unsigned int flows;
	unsigned hyper flow_bytes;
	kf_rpc_vm vms<>;
	kf_rpc_upstream upstreams<>;
	kf_rpc_selector selectors<>;
	kf_rpc_counter counters<>;
	kf_rpc_counter reasons<>;
};

program KF_CONTROL_PROG {
	version KF_CONTROL_VERS {
		void KF_CONTROL_NULL(void) = 0;
		kf_rpc_status KF_CONTROL_STATUS(void) = 1;
		kf_rpc_doc KF_CONTROL_FETCH(unsigned int) = 2;
	} = 1;
} = 0x20004b58;
