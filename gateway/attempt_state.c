#include "gateway/attempt_state.h"

#include <glib.h>

#include "base/mechanism.h"

static const struct at_row at_rows[] = {
#define X(id, state, refused, end, non_idempotent, idempotent, result)      \
	{ state,	   refused,    CORE_END_##end, AT_##non_idempotent, \
	  AT_##idempotent, ST_##result },
	AT_ROWS(X)
#undef X
};

const struct at_row *at_find_row(enum hc_state state, bool refused)
{
	for (size_t i = 0; i < G_N_ELEMENTS(at_rows); i++)
		if (at_rows[i].state == state && at_rows[i].refused == refused)
			return &at_rows[i];
	/* The server can only have rejected the call once a head arrived. */
	return at_find_row(state, false);
}

enum hc_state at_end_state(enum hc_end end)
{
	switch (end) {
	case HC_NOT_SENT:
		return HC_CONNECTING;
	case HC_NO_ANSWER:
		return HC_SENT;
	case HC_BROKEN:
		return HC_ANSWER_BEGUN;
	default:
		return HC_DONE;
	}
}

bool at_may_have_run(const struct at_row *row)
{
	return core_end_may_have_run(row->end);
}

bool at_may_send(bool idempotent, bool may_have_run)
{
	if (!me_on(ME_SEND_ONCE))
		return true;
	return idempotent || !may_have_run;
}
