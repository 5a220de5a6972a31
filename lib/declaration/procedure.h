#ifndef KF_PROCEDURE_H
#define KF_PROCEDURE_H

#include "kf/field.h"

/*
 * NAME
 *	kf_procedure - parses the "procedure.NUMBER" keys of a service
 */

/* Adds procedure number; value is "idempotent|non-idempotent [class]". */
kf_status_t kf_service_add_procedure(
    kf_service_t *service, const char *number, const char *value);

/* Sets the class of procedures that state none to that of the service. */
void kf_service_default_procedure_classes(kf_service_t *service);

#endif
