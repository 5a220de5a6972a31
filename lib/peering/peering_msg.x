/* Messages between the VMs. */

const PEERING_MAX_MEMBERS = 24;
const PEERING_MAX_DEMANDS = 4;
const PEERING_MAX_REPORTS = 8;
const PEERING_MAX_LEFT = 4;
const PEERING_MAX_KEY = 800;
const PEERING_MAX_VALUE = 33554432;	/* the limit of a whole message */
const PEERING_MAX_ITEMS = 200000;

/* A VM listed in a beacon. */
struct peering_member {
	unsigned int ip;
	unsigned int age_ms;	/* since it was last heard from */
};

/* New flows of a service that arrive at the sender, refused ones included. */
struct peering_demand {
	unsigned hyper service;
	unsigned int asked_per_s;
};

/* A request that an upstream answered late, never, or with an error. */
struct peering_report {
	unsigned int token;	/* of the upstream */
	unsigned int origin;	/* address of the VM that saw it */
	unsigned int number;	/* counts that VM's reports */
	unsigned int age_ms;
};

/* The kind of members that the sender requests. */
enum peering_question {
	PEERING_ASKS_NOTHING = 0,
	PEERING_ASKS_ZONE = 1,	/* VMs of its own zone */
	PEERING_ASKS_OTHERS = 2	/* VMs of other zones */
};

struct peering_beacon {
	unsigned int magic;
	unsigned int ip;
	unsigned hyper zone;
	unsigned hyper era;	/* of the store, with the revision */
	unsigned hyper revision;
	/* Since contact with the store at this revision; -1: never. */
	int contact_age_ms;
	unsigned hyper stamp_us;	/* of the sender's clock */
	/* Stamp of the receiver's latest beacon, and the time since. */
	bool has_echo;
	unsigned hyper echo_us;
	unsigned int echo_held_us;
	bool wants_echo;	/* the sender knows no bound of the receiver's clock */
	bool leaving;
	peering_question asks;
	peering_demand demands<PEERING_MAX_DEMANDS>;
	peering_report reports<PEERING_MAX_REPORTS>;	/* own zone only */
	unsigned hyper members_zone;	/* of members and left */
	peering_member members<PEERING_MAX_MEMBERS>;
	/* Announced departures; age_ms counts from the announcement. */
	peering_member left<PEERING_MAX_LEFT>;
};

struct peering_item {
	string key<PEERING_MAX_KEY>;
	unsigned hyper revision;
	bool removed;
	opaque value<PEERING_MAX_VALUE>;
};

/* Answer to a request for the changes after a revision; sent compressed. */
struct peering_changes {
	unsigned hyper era;
	unsigned hyper era_start;	/* revision at which the era began */
	unsigned hyper revision;
	bool listing;		/* items are the whole replica, not changes */
	peering_item items<PEERING_MAX_ITEMS>;
};
