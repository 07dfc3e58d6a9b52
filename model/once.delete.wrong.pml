/* Wrong on purpose: a claim is voided by deleting its row, after which versions
 * start from 0 again. The reply to the deletion is lost and the deletion takes
 * effect late, on the row of the next holder, and a third attempt runs the call
 * again. With two attempts the model holds.
 * Refuted by: assertion violated !(call_sent) */
#define DELETE
#include "once.pml"
