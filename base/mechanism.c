#include "base/mechanism.h"

#ifdef ME_SWITCHES

#include <stdlib.h>
#include <string.h>

static const char *const me_names[] = {
#define X(id, name) name,
	ME_LIST(X)
#undef X
};

static bool me_disabled[ME_COUNT];

static bool me_is_listed(const char *list, const char *name)
{
	size_t len = strlen(name);
	const char *p = list;

	while ((p = strstr(p, name))) {
		bool starts = p == list || p[-1] == ',';
		bool ends = !p[len] || p[len] == ',';

		if (starts && ends)
			return true;
		p += len;
	}
	return false;
}

static void me_load_disabled(void)
{
	const char *list = getenv("JACKDAWWORKS_OFF");

	for (int i = 0; list && i < ME_COUNT; i++)
		me_disabled[i] = me_is_listed(list, me_names[i]);
}

bool me_on(enum me_kind kind)
{
	static bool loaded;

	if (!loaded)
		me_load_disabled();
	loaded = true;
	return !me_disabled[kind];
}

#endif
