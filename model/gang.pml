/* Prompts beyond one engine: gangs of engines, reserved all or nothing.
 *
 * LEADS leads each want two of three engines, each of which has room for one
 * gang, and take them in the order of engine ids. A lead that is refused frees
 * what it holds and tries again. A lead may die at
 * any moment; what it held ends with its lease.
 *
 * Checked: no engine is held twice, no work runs with half a gang or after a
 * lease is over, nobody waits for ever, and in the end nothing is held. */
#define LEADS 3
#define ENGINES 3
#define TRIES 2
#define FREE 255

byte holder[ENGINES] = FREE;
bool dead[LEADS] = false;
byte left = LEADS;

/* go: sidecar/internal/gatekeeper Gate.Reserve */
inline reserve(e) {
  atomic {
    if
    :: holder[e] == FREE -> holder[e] = self; got = true
    :: holder[e] != FREE -> got = false
    fi
  }
}

/* go: sidecar/internal/gatekeeper Gate.Release */
inline release(e) {
  atomic { if :: holder[e] == self -> holder[e] = FREE :: else fi }
}

/* go: core/reserver Reserve, core/reserver Gang.Release */
proctype lead(byte self; byte a; byte b) {
  byte first, second;
  byte tries = 0;
  bool got;
#ifdef UNORDERED
  first = a; second = b;
#else
  if :: a < b -> first = a; second = b :: else -> first = b; second = a fi;
#endif
again:
  if :: goto died :: true fi;
#ifdef UNORDERED
  atomic { holder[first] == FREE -> holder[first] = self }; /* waits and holds on */
  atomic { holder[second] == FREE -> holder[second] = self };
#else
  reserve(first);
  if :: !got -> goto refused :: else fi;
  if :: goto died :: true fi;
  reserve(second);
  if :: !got -> release(first); goto refused :: else fi;
#endif
  if :: goto died :: true fi;
  assert(holder[first] == self && holder[second] == self); /* the gang runs */
  release(second);
  release(first);
  goto over;
refused:
  tries++;
  if :: tries < TRIES -> goto again :: else -> goto over fi; /* refused to the caller: not run */
died:
  dead[self] = true;
over:
  left--
}

/* A lease lapses once nobody renews it. go: sidecar/internal/gatekeeper Gate.Expire */
proctype gate(byte e) {
  do
  :: atomic { holder[e] != FREE && dead[holder[e]] -> holder[e] = FREE }
  :: left == 0 && holder[e] == FREE -> break
  od
}

init {
  atomic {
    run lead(0, 0, 1); run lead(1, 1, 2); run lead(2, 2, 0);
    run gate(0); run gate(1); run gate(2)
  }
}
