#ifndef KF_PROCEDURE_H
#define KF_PROCEDURE_H

#include "kf/field.h"

/*
 * NAME
 *	kf_procedure - reads the procedures of a service
 */

/* Adds "NUMBER" with "idempotent|non-idempotent [class]". */
kf_status_t kf_service_add_procedure(
    kf_service_t *service, const char *number, const char *value);

/* Gives procedures without a class that of the service. */
void kf_service_finish_procedures(kf_service_t *service);

#endif
