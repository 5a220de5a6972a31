#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Stand-ins for the review's cases: the platform's store, the routers, clients
 * and backends, all in one process on loopback addresses, and the forwarders as
 * processes started from the run line of deploy/system.toml.  A case is plain
 * code that calls run_for between its steps.
 */

enum {
	MAX_VMS = 8,
	MAX_BACKENDS = 24,
	MAX_ROUTES = 8,
	MAX_ZONES = 4,
	NAME_BYTES = 32,
	PACKET_BYTES = 1232,
	PORTS = 65536,
};

typedef struct bounds {
	int grace_s;
	int drain_ms;
	int apply_ms;
	int evacuate_ms; /* 0: not set */
	double cold_excess;
	double cold_slack;
	int reorder_ms;
	int recovery_s;
	int heartbeat_ms;
} bounds_t;

extern bounds_t bounds;

/* Time since the start of the case, in ms. */
int64_t now_ms(void);
int64_t wall_ms(void);
uint32_t random_u32(void);
/* Writes a line to record.txt, with the time. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends the case with status 2: it could not run. */
void cannot_run(const char *fmt, ...)
    __attribute__((format(printf, 1, 2), noreturn));
/* Text form of the address 127.a.b.host of this case; four buffers in turn. */
const char *ip_text(int host);
uint32_t ip_number(int host);
int udp_open(int host, int port);
int tcp_listen(int host, int port);

/* Watches a descriptor; fn is called when it is readable. */
typedef void ready_fn(void *ctx, int fd);
void watch(int fd, ready_fn *fn, void *ctx);
void unwatch(int fd);
/* Serves the world for a time. */
void run_for(int64_t ms);

/* store.c */
void store_open(int host, int port);
/* Keys are given as they stand in JSON, with its escapes. */
void store_put(const char *key, const char *value);
void store_remove(const char *key);
/* The current value of a key, or NULL. */
const char *store_get(const char *key);
void store_tick(void);

/* vms.c */
typedef struct vm {
	int host;
	char zone[NAME_BYTES];
	int pid; /* 0: not running */
	bool in_rotation;
	int misses;
	int check_fd;
	int starts;
} vm_t;

extern vm_t vms[MAX_VMS];
extern int vm_count;

void vm_add(const char *zone);
void vm_start(int i);
void vm_kill(int i, int sig);
void vms_start_all(void);
void vms_tick(void);
void vms_end(void);
/* The VM that the routers select for a client's packet, or NULL. */
const vm_t *router_pick(const char *zone, uint32_t hash);

/* flows.c */
typedef struct backend {
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char zone[NAME_BYTES];
	uint64_t number; /* the hexadecimal digits of its id */
	int host;
	int slots;
	int work_ms;
	bool runs;
	int64_t born_ms;
	int64_t cold_until_ms; /* 0: not cold */
	int64_t cold_from_ms;
	int64_t next_beat_ms;
	int64_t seq;
	int udp_fd;
	int tcp_fd;
	int busy;		     /* requests at work */
	int queued;		     /* requests that wait for a slot */
	struct backend_flow **flows; /* by the client's port */
} backend_t;

typedef struct route {
	char name[NAME_BYTES];
	char service[NAME_BYTES]; /* judged: where its requests may run */
	char extra[1024];	  /* JSON fields of the configuration */
	int host;
	int port;
	bool safe;
	bool dropped; /* no longer in the configuration */
} route_t;

/* One request of a client: it is one attempt, and has its own id. */
typedef struct request {
	uint32_t id;
	int route;
	char zone[NAME_BYTES];
	int64_t sent_ms;      /* of the flow's first SYN, or of the request */
	int64_t arrived_ms;   /* at the backend that began to work; 0: none */
	int64_t answered_ms;  /* 0: not answered */
	int64_t refused_ms;   /* reset by the system before the flow opened */
	int64_t sys_reset_ms; /* reset by the system on the open flow */
	int64_t reset_ms;     /* reset by a backend */
	int64_t ended_ms;     /* 0: in progress */
	int ran_at;	      /* index of the backend, -1: none */
	int runs;
	int flow_backend;  /* at which its flow is open, -1: none */
	int reset_by;	   /* index of the backend */
	int other_packets; /* of its flow, since the last at its backend */
	int64_t other_from_ms;
	int64_t other_longest_ms;
} request_t;

extern backend_t backends[MAX_BACKENDS];
extern int backend_count;
extern route_t routes[MAX_ROUTES];
extern int route_count;
extern request_t *requests;
extern int request_count;
extern unsigned damaged_at_backends, damaged_at_clients;

int backend_add(const char *id, const char *service, const char *zone,
    int slots, int work_ms);
void backend_start(int i, int64_t cold_ms);
/* The backend turns cold without a start. */
void backend_turn_cold(int i, int64_t cold_ms);
int route_add(const char *name, const char *service, int host, int port,
    bool safe, const char *extra);
void config_put(int version, const char *services_json);
/* Requests per second on new flows, and the number of long flows, each with a
 * request every pause_ms. */
void clients_set(int route, const char *zone, double per_s);
void clients_open_long(int route, const char *zone, int flows, int pause_ms);
void clients_stop(void);
void flows_open(int port);
void flows_tick(void);

/* cases.c */
int run_case(const char *name, bool trouble);

#endif
