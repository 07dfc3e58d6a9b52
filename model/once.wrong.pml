/* Wrong on purpose: an attempt takes a claim over when its lease has expired.
 * The paused holder of the claim still sends the call.
 * Refuted by: assertion violated !(call_sent) */
#define TAKEOVER
#include "once.pml"
