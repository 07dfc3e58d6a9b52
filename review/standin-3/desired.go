package main

// desiredState is the desired state of the deployment: kinds, limits and engines as at the
// small sites.
const desiredState = `{"version":1,"routes":[
 {"name":"chat","host":"site.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"targetGapMs":200,"service":"pool","maxAttempts":2,"sticky":true,"resumable":true,"priority":1},
 {"name":"book","host":"site.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"service":"bookings","maxAttempts":1,"priority":2},
 {"name":"read","host":"site.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"service":"bookings","maxAttempts":2,"priority":2}],
"services":[{"name":"pool","healthPath":"/health","coldStartS":3,"coldPerS":26,"maxConns":224,"engine":{"slots":16,"kvCapacityTokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048,"usual":{"prompt":5000,"answer":1600}}},
 {"name":"bookings","healthPath":"/health","maxConns":48}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-one"]}]}`
