"""Randomized soak of the gateway program against stand-ins, on loopback.

Gateways run as separate processes, as the deploy file starts them. The
store, the endpoints and the callers are stand-ins in the process of the
soak, which records what each of them saw and checks the promises that hold
under any trouble.
"""
