#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct st_row {
	const char *name;
	int http;
	int exit_code;
	bool not_run;
};

static const struct st_row st_rows[] = {
#define X(id, name, http, exit_code, not_run) \
	{ name, http, exit_code, not_run },
	ST_KINDS(X)
#undef X
};

enum st_kind st_set(struct st_status *status, enum st_kind kind,
		    const char *fmt, ...)
{
	va_list ap;

	if (!status)
		return kind;
	status->kind = kind;
	va_start(ap, fmt);
	vsnprintf(status->msg, sizeof(status->msg), fmt, ap);
	va_end(ap);
	return kind;
}

const char *st_name(enum st_kind kind)
{
	return st_rows[kind].name;
}

bool st_find(const char *name, enum st_kind *kind)
{
	for (uint32_t i = 0; i < ST_KIND_COUNT; i++) {
		if (strcmp(st_rows[i].name, name) != 0)
			continue;
		*kind = (enum st_kind)i;
		return true;
	}
	return false;
}

int st_http_status(enum st_kind kind)
{
	return st_rows[kind].http;
}

int st_exit_code(enum st_kind kind)
{
	return st_rows[kind].exit_code;
}

bool st_not_run(enum st_kind kind)
{
	return st_rows[kind].not_run;
}
