#include "base/kernel.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* A queued message and its receiver. */
struct kn_envelope {
	struct kn_envelope *next;
	struct kn_task *task;
	_Alignas(max_align_t) char bytes[KN_MAX_MSG_BYTES];
};

void kn_init(struct kn_kernel *kernel, uv_loop_t *loop)
{
	memset(kernel, 0, sizeof(*kernel));
	kernel->loop = loop;
	kernel->tail = &kernel->head;
}

void kn_free(struct kn_kernel *kernel)
{
	while (kernel->head) {
		struct kn_envelope *envelope = kernel->head;

		kernel->head = envelope->next;
		g_free(envelope);
	}
	kernel->tail = &kernel->head;
}

enum st_kind kn_register(struct kn_kernel *kernel, struct kn_task *task,
			 struct st_status *status)
{
	if (kn_find(kernel, task->name))
		return st_set(status, ST_INTERNAL, "task %s registered twice",
			      task->name);
	if (kernel->task_count == KN_MAX_TASKS)
		return st_set(status, ST_INTERNAL, "too many tasks");
	kernel->tasks[kernel->task_count++] = task;
	return ST_OK;
}

struct kn_task *kn_find(struct kn_kernel *kernel, const char *name)
{
	for (uint32_t i = 0; i < kernel->task_count; i++)
		if (!strcmp(kernel->tasks[i]->name, name))
			return kernel->tasks[i];
	return NULL;
}

static void kn_push(struct kn_kernel *kernel, struct kn_task *task,
		    const struct kn_msg *msg)
{
	struct kn_envelope *envelope = g_new0(struct kn_envelope, 1);

	g_assert(msg->size_bytes <= KN_MAX_MSG_BYTES);
	memcpy(envelope->bytes, msg, msg->size_bytes);
	envelope->task = task;
	*kernel->tail = envelope;
	kernel->tail = &envelope->next;
}

static void kn_deliver(struct kn_kernel *kernel)
{
	if (kernel->delivering)
		return;
	kernel->delivering = true;
	while (kernel->head) {
		struct kn_envelope *envelope = kernel->head;
		struct kn_task *task = envelope->task;

		kernel->head = envelope->next;
		if (!kernel->head)
			kernel->tail = &kernel->head;
		task->handle(task->ctx, (struct kn_msg *)envelope->bytes);
		g_free(envelope);
	}
	kernel->delivering = false;
}

void kn_send(struct kn_kernel *kernel, const char *name,
	     const struct kn_msg *msg)
{
	struct kn_task *task = kn_find(kernel, name);

	if (!task)
		return;
	kn_push(kernel, task, msg);
	kn_deliver(kernel);
}

void kn_broadcast(struct kn_kernel *kernel, const struct kn_msg *msg)
{
	for (uint32_t i = 0; i < kernel->task_count; i++)
		kn_push(kernel, kernel->tasks[i], msg);
	kn_deliver(kernel);
}
