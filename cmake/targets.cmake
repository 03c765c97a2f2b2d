# medlarway_library(NAME LINKS...): one small library from every source in the
# calling folder; headers are included as "NAME/file.h".
function(medlarway_library name)
    file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
    if(sources)
        add_library(medlarway_${name} STATIC ${sources})
        target_include_directories(medlarway_${name} PUBLIC "${PROJECT_SOURCE_DIR}/src")
        target_link_libraries(medlarway_${name} PUBLIC ${ARGN})
    else()
        add_library(medlarway_${name} INTERFACE)
        target_include_directories(medlarway_${name} INTERFACE "${PROJECT_SOURCE_DIR}/src")
        target_link_libraries(medlarway_${name} INTERFACE ${ARGN})
    endif()
endfunction()

# medlarway_tests(NAME LINKS...): one doctest program from tests/NAME/*_test.cpp.
function(medlarway_tests name)
    file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp")
    if(sources)
        add_executable(${name}_test main.cpp ${sources})
        target_include_directories(${name}_test PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
        target_link_libraries(${name}_test PRIVATE ${ARGN} doctest::doctest rapidcheck)
        add_test(NAME ${name} COMMAND ${name}_test WORKING_DIRECTORY "${PROJECT_SOURCE_DIR}")
        # RapidCheck draws its seed from here, so that every run gives the same verdict.
        set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=${MEDLARWAY_SEED}")
    endif()
endfunction()

# medlarway_programs(LINKS...): one program for every source in the calling folder.
function(medlarway_programs)
    file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
    foreach(source ${sources})
        get_filename_component(program "${source}" NAME_WE)
        add_executable(${program} "${source}")
        target_link_libraries(${program} PRIVATE ${ARGN})
    endforeach()
endfunction()
