/* Orders to engines: leases, wanted-state rows, convergence.
 *
 * Two placers take turns at one lease (core/orderer.Acquire) and write the
 * wanted row in a transaction that checks the lease (core/orderer.Write). A
 * lease may lapse at any moment while its holder is paused and still believes
 * that it holds it. Two sidecars of one engine, an old one that is paused and
 * its successor, converge the engine (sidecar/internal/converger), with
 * fencing numbers from the table. The engine checks numbers or ignores them.
 *
 * Checked: a row written under a lease number is never overwritten under an
 * older one; an engine that checks numbers never obeys an older one; when
 * everything is quiet the engine is as the row wants. */
byte number = 0;  /* of the lease row */
byte written = 0; /* lease number under which the wanted row was last written */
byte want = 0;    /* the wanted row: its revision */

byte fences = 0;  /* the fence row */
bool fencing;     /* this engine checks numbers */
byte fence = 0;   /* highest that the engine has seen */
byte have = 0;    /* revision that the engine has loaded */

byte busy = 0;    /* placers and the old sidecar, while they may still act */

proctype placer() {
  byte mine;
  byte rounds = 0;
  do
  :: rounds < 2 -> rounds++;
     atomic { number++; mine = number }; /* Acquire: any moment, the old lease counts as lapsed */
     /* paused here for as long as it takes */
     atomic { /* Write */
#ifdef BELIEF
       if
       :: true ->
#else
       if
       :: number == mine ->
#endif
          assert(mine >= written);
          written = mine; want++
       :: else
       fi
     }
  :: rounds == 2 -> break
  od;
  busy--
}

inline order(f, revision) { /* generator.Engine.Order, landing in its time */
  atomic {
    if
    :: fencing && f < fence /* refused */
    :: else ->
       assert(!fencing || f >= fence);
       if :: f > fence -> fence = f :: else fi;
       have = revision
    fi
  }
}

/* A sidecar that is paused between reading the row and giving the order. */
proctype old_sidecar() {
  byte mine;
  byte revision;
  atomic { fences++; mine = fences };
  revision = want;
  order(mine, revision);
  busy--
}

/* Converger.Step, again and again. */
proctype sidecar() {
  byte mine;
  byte revision;
  bool quiet;
  atomic { fences++; mine = fences };
  do
  :: quiet = (busy == 0);
     revision = want;
     if
     :: have != revision -> order(mine, revision) /* read again in the next step */
#ifdef TRUST
     :: have == revision -> break /* and never looks again */
#else
     :: have == revision && quiet -> break
     :: have == revision && !quiet
#endif
     fi
  od;
  busy == 0; /* everything is quiet */
  assert(have == want)
}

init {
  atomic {
    if :: fencing = true :: fencing = false fi;
    busy = 3;
    run placer(); run placer(); run old_sidecar()
  };
  run sidecar()
}
