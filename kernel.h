#ifndef KERNEL_H
#define KERNEL_H

#include <stdint.h>
#include <uv.h>

#include "status.h"

/*
 * Micro-kernel: tasks register by name and exchange typed messages.
 *
 * A process has one kernel and one libuv loop. Messages are delivered in the
 * order in which they were sent, never while another handler runs.
 */

/* Closed list of message kinds: identifier, structure of the message. */
#define KN_MSGS(X)                           \
	X(DOCUMENT, kn_msg_document)         \
	X(GENERATION, kn_msg_generation)     \
	X(HOSTS, kn_msg_hosts)               \
	X(SERVER_STATE, kn_msg_server_state) \
	X(STOP, kn_msg)

enum kn_kind {
#define X(id, type) KN_##id,
	KN_MSGS(X)
#undef X
		KN_KIND_COUNT
};

enum { KN_MAX_TASKS = 16, KN_MAX_MSG_BYTES = 128, KN_NAME_BYTES = 64 };

/* Common start of every message. */
struct kn_msg {
	uint32_t kind;
	uint32_t size_bytes;
};

struct doc_document;
struct pr_hosts;

/* A document came into force. The receiver takes a reference to keep it. */
struct kn_msg_document {
	struct kn_msg msg;
	struct doc_document *document;
};

/* A peer reports the generation that it has in force. */
struct kn_msg_generation {
	struct kn_msg msg;
	uint64_t generation;
	char digest[65];
	char host[KN_NAME_BYTES];
};

/* The set of live entry hosts changed. Valid during delivery only. */
struct kn_msg_hosts {
	struct kn_msg msg;
	const struct pr_hosts *hosts;
};

/* A sign about a server from the platform or from a peer. */
struct kn_msg_server_state {
	struct kn_msg msg;
	char server[KN_NAME_BYTES];
	bool leaving;
};

/* A task is owned by its module; NAME must outlive the registration. */
struct kn_task {
	const char *name;
	void (*handle)(void *ctx, const struct kn_msg *msg);
	void *ctx;
};

struct kn_kernel {
	uv_loop_t *loop;
	struct kn_task *tasks[KN_MAX_TASKS];
	uint32_t task_count;
	struct kn_envelope *head;
	struct kn_envelope **tail;
	bool delivering;
};

/* kn_init, kn_free - set up on caller-owned memory. Source: kernel.c */
void kn_init(struct kn_kernel *kernel, uv_loop_t *loop);
void kn_free(struct kn_kernel *kernel);

/*
 * kn_register - make TASK known under its name.
 * Errors: ST_INTERNAL when the name is taken or the registry is full.
 */
enum st_kind kn_register(struct kn_kernel *kernel, struct kn_task *task,
			 struct st_status *status);

/* kn_find - the task with that name, or NULL. */
struct kn_task *kn_find(struct kn_kernel *kernel, const char *name);

/*
 * kn_send - copy MSG into the queue of a task found by name.
 * Sending to an unknown name does nothing: parts are optional.
 */
void kn_send(struct kn_kernel *kernel, const char *name,
	     const struct kn_msg *msg);

/* kn_broadcast - kn_send to every task. */
void kn_broadcast(struct kn_kernel *kernel, const struct kn_msg *msg);

#endif
