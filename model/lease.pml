/* Orders to engines: leases, rows with desired states, convergence.
 *
 * Two placers take turns at one lease and write the desired row in a
 * transaction that checks the lease. A lease may expire at any moment while its
 * holder is paused and still believes that it holds it. Two sidecars of one
 * engine, an old one that is paused and its successor, converge the engine to
 * the row, with fencing tokens from the table. The engine checks tokens or
 * ignores them.
 *
 * Checked: a row written under a lease number is never overwritten under an
 * older one; an engine that checks tokens never applies an order with an older
 * one; when no placer and no old sidecar is left, the engine reaches the state
 * in the desired row. */
byte number = 0;  /* of the lease row */
byte written = 0; /* lease number under which the desired row was last written */
byte desired = 0; /* revision of the desired row */

byte tokens = 0;  /* last fencing token issued by the table */
bool fencing;     /* this engine checks fencing tokens */
byte highest = 0; /* highest fencing token that the engine has received */
byte loaded = 0;  /* revision that the engine has loaded */

byte placers = 2;      /* placers that may still act */
byte old_sidecars = 1; /* old sidecars that may still act */

proctype placer() {
  byte mine;
  byte rounds = 0;
  do
  :: rounds < 2 -> rounds++;
     atomic { number++; mine = number }; /* the old lease may expire at any moment. go: core/scheduler Lessee.Step */
     /* may be paused here for any time */
#ifdef UNCHECKED
     if /* checks that it still holds the lease, is paused, and then writes */
     :: number != mine -> goto next
     :: else
     fi;
#endif
     atomic { /* go: core/scheduler Write */
       if
#ifdef UNCHECKED
       :: true ->
#else
       :: number == mine ->
#endif
          assert(mine >= written);
          written = mine; desired++
       :: else
       fi
     }
next:
     skip
  :: rounds == 2 -> break
  od;
  placers--
}

inline order(token, revision) { /* arrives after any delay. go: core/generator Engine.Order */
  atomic {
    if
    :: fencing && token < highest /* refused */
    :: else ->
       assert(!fencing || token >= highest);
       if :: token > highest -> highest = token :: else fi;
       loaded = revision
    fi
  }
}

/* A sidecar that is paused between reading the row and sending the order. */
proctype old_sidecar() {
  byte mine;
  byte revision;
  atomic { tokens++; mine = tokens }; /* go: core/scheduler NextFencingToken */
  revision = desired;
  order(mine, revision);
  old_sidecars--
}

/* Compares the engine with the row in each step. go: sidecar/internal/converger Converger.Step */
proctype sidecar() {
  byte mine;
  byte revision;
  bool quiet;
  atomic { tokens++; mine = tokens };
  do
  :: quiet = (placers + old_sidecars == 0);
     revision = desired; /* go: core/scheduler ReadDesired */
     if
     :: loaded != revision -> order(mine, revision) /* the next step reads the engine again */
#ifdef ONCE
     :: loaded == revision && placers == 0 -> break /* as desired; never reads the engine again */
#else
     :: loaded == revision && quiet -> break
     :: loaded == revision && !quiet
#endif
     fi
  od;
  placers + old_sidecars == 0; /* nobody else acts any more */
  assert(loaded == desired)
}

init {
  atomic {
    if :: fencing = true :: fencing = false fi;
    run placer(); run placer(); run old_sidecar()
  };
  run sidecar()
}
