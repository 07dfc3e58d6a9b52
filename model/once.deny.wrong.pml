/* Wrong on purpose: the caller is told "not run" at its deadline, whatever the
 * attempt has come to (6 is handed).
 * Refuted by: assertion violated (phase[2]!=6) */
#define DENY
#include "once.pml"
