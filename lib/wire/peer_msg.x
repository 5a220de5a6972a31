/*
 * Datagrams between balancers.  Each holds one kf_peer_msg and an 8-byte MAC
 * over the encoded message, computed with a key that the platform publishes.
 */

const KF_PEER_MAX_DIGESTS = 64;
const KF_PEER_MAX_EVIDENCE = 16;
const KF_PEER_MAX_PAYLOAD = 65000;

enum kf_peer_type {
	KF_PEER_HEARTBEAT = 1,
	KF_PEER_FORWARD = 2,
	KF_PEER_INTENT = 3,
	KF_PEER_INTENT_ACK = 4,
	KF_PEER_INTENT_NACK = 5,
	KF_PEER_DONE = 6,
	KF_PEER_LEASE = 7,
	KF_PEER_LEASE_ACK = 8,
	KF_PEER_END = 9,
	KF_PEER_HANDOVER = 10,
	KF_PEER_HANDOVER_ACK = 11
};

/* A VM and the start time of its process in milliseconds. */
struct kf_peer_id {
	unsigned int vm;
	unsigned hyper incarnation;
};

/* State of one upstream as its owner sees it. */
struct kf_peer_digest {
	unsigned int upstream;
	unsigned hyper incarnation;
	unsigned int load;
	unsigned int flags;
};

struct kf_peer_doc_version {
	unsigned int revision;
	unsigned hyper platform_version;
};

/* Flags in the low 8 bits of the field state. */
const KF_PEER_LEAVING = 1;
const KF_PEER_SILENT = 2; /* evidence: the observer gets no heartbeats */
const KF_PEER_OBSERVE = 4; /* heartbeat: the receiver gets one every 500 ms */

/*
 * Several values share one 32-bit field, because packet headers and a heartbeat
 * to each of 7 receivers leave only 30 bytes of the byte budget.
 *	ports: control port (upper 16 bits), first peer port (lower 16 bits)
 *	state: age in units of 10 ms (upper 16 bits), number of shards
 *	    (8 bits), flags (low 8 bits)
 */

/* What the sender knows about another VM. */
struct kf_peer_evidence {
	kf_peer_id id;
	unsigned int addr;
	unsigned int ports;
	unsigned int zone;
	unsigned int state;
};

/* Control and peer sockets of a VM share one IP address. */
struct kf_peer_heartbeat {
	unsigned int sequence;
	unsigned int addr;
	unsigned int ports;
	unsigned int zone;
	unsigned int state;
	/* Age of contact with the platform, see kf_confdist; -1: none. */
	unsigned int confirmed_age_ms;
	kf_peer_doc_version declaration;
	unsigned hyper keys_version;
	unsigned hyper vms_version;
	kf_peer_evidence evidence<KF_PEER_MAX_EVIDENCE>;
	kf_peer_digest digests<KF_PEER_MAX_DIGESTS>;
};

/*
 * Flags of a forwarded request.  Bit 0 is reserved: zero when sent, ignored
 * when received.
 */
const KF_FORWARD_MAY_HAVE_RUN = 2; /* an attempt got no reply */

/* A caller's datagram, forwarded to the VM that owns its flow. */
struct kf_peer_forward {
	unsigned int caller_ip;
	unsigned int caller_port;
	unsigned int service_ip;
	unsigned int service_port;
	unsigned int fabric_ip;
	unsigned int fabric_port;
	unsigned int flags;
	unsigned int hops;
	opaque token<256>;
	opaque datagram<KF_PEER_MAX_PAYLOAD>;
};

struct kf_peer_intent {
	unsigned hyper flow;
	unsigned int xid;
	unsigned int generation;
	unsigned int upstream;
};

struct kf_peer_done {
	unsigned hyper flow;
	unsigned int xid;
	unsigned int generation;
	unsigned int verdict;
	unsigned int reason;
	opaque reply<KF_PEER_MAX_PAYLOAD>;
};

const KF_LEASE_GRANTED = 0;
const KF_LEASE_FENCED = 1; /* the owner is fenced already */
/* The backup is leaving and will not fence the owner before the owner ends. */
const KF_LEASE_RELEASED = 2;

/*
 * An owner's request that its backup not fence it during the lease, and the
 * backup's answer.
 */
struct kf_peer_lease {
	unsigned int sequence;
	unsigned int shard;	/* shard of the sender of the request */
	unsigned int state;	/* answer: KF_LEASE_... */
};

/*
 * The sender's incarnation ends: from now on it dispatches no request and
 * fences no owner.
 */
struct kf_peer_end {
	unsigned int shard;
	unsigned int fenced;	/* the sender had fenced the receiver */
};

const KF_PEER_MAX_HANDOVER_FLOWS = 128;
const KF_PEER_MAX_HANDOVER_REQUESTS = 8;
const KF_PEER_MAX_ADOPTED = 256;

struct kf_peer_handover_request {
	unsigned int xid;
	unsigned int generation;
	unsigned int refused;
};

/* A VM that has ended, to the sender's knowledge. */
struct kf_peer_ended {
	kf_peer_id id;
	unsigned int cannot_have_fenced;
};

struct kf_peer_handover_flow {
	kf_peer_id owner;
	unsigned hyper flow;
	unsigned int floor;
	kf_peer_handover_request requests<KF_PEER_MAX_HANDOVER_REQUESTS>;
};

/* One part of the records of a leaving VM; the receiver needs all parts. */
struct kf_peer_handover {
	unsigned int part;
	unsigned int parts;
	unsigned int shard;
	kf_peer_id adopted<KF_PEER_MAX_ADOPTED>;
	kf_peer_ended ended<KF_PEER_MAX_ADOPTED>;
	kf_peer_handover_flow flows<KF_PEER_MAX_HANDOVER_FLOWS>;
};

struct kf_peer_handover_ack {
	unsigned int part;
};

union kf_peer_body switch (kf_peer_type type) {
case KF_PEER_HEARTBEAT:
	kf_peer_heartbeat heartbeat;
case KF_PEER_FORWARD:
	kf_peer_forward forward;
case KF_PEER_INTENT:
	kf_peer_intent intent;
case KF_PEER_INTENT_ACK:
	kf_peer_intent ack;
case KF_PEER_INTENT_NACK:
	kf_peer_intent nack;
case KF_PEER_DONE:
	kf_peer_done done;
case KF_PEER_LEASE:
	kf_peer_lease lease;
case KF_PEER_LEASE_ACK:
	kf_peer_lease lease_ack;
case KF_PEER_END:
	kf_peer_end end;
case KF_PEER_HANDOVER:
	kf_peer_handover handover;
case KF_PEER_HANDOVER_ACK:
	kf_peer_handover_ack handover_ack;
};

struct kf_peer_msg {
	unsigned int key;
	kf_peer_id from;
	kf_peer_body body;
};
