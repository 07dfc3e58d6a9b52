/* Wrong on purpose: a claim is voided by deletion, after which versions count
 * from the start again. The deletion's answer is lost and it takes effect late,
 * on the row of the next holder, and a third attempt runs the call again. With
 * two attempts it holds.
 * Refuted by: assertion violated !(handover) */
#define DELETE
#include "once.pml"
