"""The root's platform frontend and backend around the shared core: HTTP clients, leaves that speak
frames, and discovery by a watch.
"""
