#ifndef CONTROL_ACCEPT_H
#define CONTROL_ACCEPT_H

#include "control/control.h"

/*
 * cp_end_submissions - answer all pending submissions with ST_STOPPING.
 * Source: control/accept.c
 */
void cp_end_submissions(struct cp_control *control);

#endif
