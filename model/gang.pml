/* Prompts beyond the memory of one engine: gangs of engines, whose reservation
 * is all or nothing.
 *
 * Each of LEADERS leaders wants two of three engines, each of which has memory
 * for one gang, and reserves them in the order of engine ids. A leader whose
 * reservation is refused releases what it holds and tries again. A leader may
 * die at any moment; what it held is released when its lease expires.
 *
 * Checked: no engine is reserved twice, no work runs with an incomplete gang or
 * after the end of a lease, there is no deadlock, and in the end nothing is
 * reserved. */
#define LEADERS 3
#define ENGINES 3
#define ATTEMPTS 2
#define FREE 255

byte holder[ENGINES] = FREE;
bool dead[LEADERS] = false;
byte running = LEADERS; /* leaders that have not finished */

/* go: sidecar/internal/gatekeeper Gate.Reserve */
inline reserve(e) {
  atomic {
    if
    :: holder[e] == FREE -> holder[e] = self; reserved = true
    :: holder[e] != FREE -> reserved = false
    fi
  }
}

/* go: sidecar/internal/gatekeeper Gate.Release */
inline release(e) {
  atomic { if :: holder[e] == self -> holder[e] = FREE :: else fi }
}

/* go: core/reserver Reserve, core/reserver Gang.Release */
proctype leader(byte self; byte a; byte b) {
  byte first, second;
  byte attempts = 0;
  bool reserved;
#ifdef UNORDERED
  first = a; second = b;
#else
  if :: a < b -> first = a; second = b :: else -> first = b; second = a fi;
#endif
again:
  if :: goto died :: true fi;
#ifdef UNORDERED
  atomic { holder[first] == FREE -> holder[first] = self }; /* waits while it holds others */
  atomic { holder[second] == FREE -> holder[second] = self };
#else
  reserve(first);
  if :: !reserved -> goto refused :: else fi;
  if :: goto died :: true fi;
  reserve(second);
  if :: !reserved -> release(first); goto refused :: else fi;
#endif
  if :: goto died :: true fi;
  assert(holder[first] == self && holder[second] == self); /* the gang runs */
  release(second);
  release(first);
  goto finished;
refused:
  attempts++;
  if :: attempts < ATTEMPTS -> goto again :: else -> goto finished fi; /* the caller gets a refusal: not run */
died:
  dead[self] = true;
finished:
  running--
}

/* A lease expires when its holder no longer renews it. go: sidecar/internal/gatekeeper Gate.Expire */
proctype gate(byte e) {
  do
  :: atomic { holder[e] != FREE && dead[holder[e]] -> holder[e] = FREE }
  :: running == 0 && holder[e] == FREE -> break
  od
}

init {
  atomic {
    run leader(0, 0, 1); run leader(1, 1, 2); run leader(2, 2, 0);
    run gate(0); run gate(1); run gate(2)
  }
}
