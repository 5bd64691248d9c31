#ifndef BASE_KERNEL_H
#define BASE_KERNEL_H

#include <stdint.h>
#include <uv.h>

#include "core/crash_guard.h"
#include "base/status.h"

/*
 * Message passing inside the process. Tasks, one for each module that takes
 * part, register under a name and exchange typed messages.
 *
 * A process has one kernel and one libuv loop. Messages are delivered in the
 * order in which they were sent, never while another handler runs.
 */

/* All message kinds: identifier, structure of the message. */
#define KN_MSGS(X)                           \
	X(DOCUMENT, kn_msg_document)         \
	X(GENERATION, kn_msg_generation)     \
	X(HOSTS, kn_msg_hosts)               \
	X(SERVER_STATE, kn_msg_server_state) \
	X(CRASH, kn_msg_crash)               \
	X(SUSPECT, kn_msg_crash)             \
	X(BLOCK, kn_msg_block)               \
	X(STOP, kn_msg)

enum kn_kind {
#define X(id, type) KN_##id,
	KN_MSGS(X)
#undef X
		KN_KIND_COUNT
};

enum { KN_MAX_TASKS = 16, KN_MAX_MSG_BYTES = 256, KN_NAME_BYTES = 64 };

/* Header of every message. SIZE_BYTES is the size of the whole structure. */
struct kn_msg {
	uint32_t kind;
	uint32_t size_bytes;
};

struct doc_document;
struct pr_hosts;

/* A document came into force. A receiver that keeps it takes a reference. */
struct kn_msg_document {
	struct kn_msg msg;
	struct doc_document *document;
};

/* A peer reported the generation and digest of its document in force. */
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

/*
 * From "gateway": an answer of SERVER carries a notice that it is leaving.
 * From "peer": a notice that SERVER is leaving has arrived from this host's
 * gateway, the platform or another entry host, or, with LEAVING false, the last
 * notice has expired.
 */
struct kn_msg_server_state {
	struct kn_msg msg;
	char server[KN_NAME_BYTES];
	bool leaving;
};

/*
 * A server crashed while it ran a request; see core/crash_guard.h. CRASH: from "gateway"
 * for the other hosts, or to it from one of them. SUSPECT: from "gateway", to be kept
 * for hosts that start.
 */
struct kn_msg_crash {
	struct kn_msg msg;
	struct cg_key key;
	uint64_t server; /* a hash, different for each start of a server */
};

/* A request is blocked for LEFT_US more. From "gateway", or to it. */
struct kn_msg_block {
	struct kn_msg msg;
	struct cg_key key;
	uint64_t left_us;
};

/* Memory of the task and its name belong to the module and must stay valid. */
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

/*
 * kn_init - set up a kernel in memory of the calling module.
 * kn_free - drop undelivered messages. Source: base/kernel.c
 */
void kn_init(struct kn_kernel *kernel, uv_loop_t *loop);
void kn_free(struct kn_kernel *kernel);

/*
 * kn_register - add TASK, which then receives messages.
 * Errors: ST_INTERNAL when the name is taken or KN_MAX_TASKS are registered.
 */
enum st_kind kn_register(struct kn_kernel *kernel, struct kn_task *task,
			 struct st_status *status);

/* kn_find - the task with that name, or NULL. */
struct kn_task *kn_find(struct kn_kernel *kernel, const char *name);

/*
 * kn_send - queue a copy of MSG for the task with that name, and deliver it
 * before returning unless a handler is running. A name without a task is
 * ignored, because not every process runs every module.
 */
void kn_send(struct kn_kernel *kernel, const char *name,
	     const struct kn_msg *msg);

/* kn_broadcast - queue a copy of MSG for every task, like kn_send. */
void kn_broadcast(struct kn_kernel *kernel, const struct kn_msg *msg);

#endif
